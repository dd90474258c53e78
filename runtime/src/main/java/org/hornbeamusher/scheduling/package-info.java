/**
 * Scheduling of one endpoint: which requests are started or refused and which adapters are loaded
 * or evicted. Pure decision logic without network access or threads.
 */
package org.hornbeamusher.scheduling;
