/** Decides whether a failed attempt is repeated. No network, no threads. */
package org.hornbeamusher.retry;
