/** Keeps a request that crashes endpoints from reaching more of them. No network, no threads. */
package org.hornbeamusher.quarantine;
