/**
 * Load generator: sends a skewed workload to entries, checks every response and measures latencies
 * as callers see them.
 */
package org.hornbeamusher.load;
