/** Chooses the endpoint for each attempt. The code does no I/O and starts no threads. */
package org.hornbeamusher.routing;
