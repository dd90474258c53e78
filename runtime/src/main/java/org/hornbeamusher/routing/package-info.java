/** Decides which endpoint gets a request. No network, no threads. */
package org.hornbeamusher.routing;
