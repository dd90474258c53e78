/** Puts an answer together from frames that may be late, repeated, out of order or missing. */
package org.hornbeamusher.responses;
