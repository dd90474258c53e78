/** The numbered catalogue of failures and the outcome each one promises to a caller. */
package org.hornbeamusher.failure;
