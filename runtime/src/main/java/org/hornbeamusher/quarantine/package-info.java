/**
 * Stops a request that crashes endpoints from reaching further ones. The code does no I/O and
 * starts no threads.
 */
package org.hornbeamusher.quarantine;
