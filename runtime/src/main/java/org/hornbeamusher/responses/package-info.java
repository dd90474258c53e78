/** Assembles a response from frames that may be late, duplicated, out of order or missing. */
package org.hornbeamusher.responses;
