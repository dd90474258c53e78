/** Sends a skewed workload to entries, checks every answer and measures what callers see. */
package org.hornbeamusher.load;
