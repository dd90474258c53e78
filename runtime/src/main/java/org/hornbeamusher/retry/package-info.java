/** Decides whether a failed attempt is retried. Decision logic without network or threads. */
package org.hornbeamusher.retry;
