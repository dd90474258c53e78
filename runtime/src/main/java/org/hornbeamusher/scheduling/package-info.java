/** Decides on an endpoint what is loaded, evicted, started and refused. No network, no threads. */
package org.hornbeamusher.scheduling;
