/** Collects the log lines of one request in order and finds the one that decided how it ended. */
package org.hornbeamusher.explain;
