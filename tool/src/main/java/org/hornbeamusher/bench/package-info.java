/** Benchmarks that {@code bench/run} starts by name. */
package org.hornbeamusher.bench;
