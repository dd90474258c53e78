/**
 * Measures what a process costs for each thing it knows or does, and works out the size of the
 * letter from it.
 */
package org.hornbeamusher.bench.capacity;
