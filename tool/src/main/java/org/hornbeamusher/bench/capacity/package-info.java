/**
 * Measures the cost of each item that a process stores and of each operation, and estimates from
 * these the resource usage at the expected scale.
 */
package org.hornbeamusher.bench.capacity;
