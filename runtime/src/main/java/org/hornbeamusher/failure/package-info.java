/** The numbered catalogue of failures and the outcome that each one reports to a caller. */
package org.hornbeamusher.failure;
