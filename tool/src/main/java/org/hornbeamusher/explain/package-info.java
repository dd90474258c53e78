/** Puts the log lines of one request in order and names the one that decided how it ended. */
package org.hornbeamusher.explain;
