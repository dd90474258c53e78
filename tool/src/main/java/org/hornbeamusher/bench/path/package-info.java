/** Measures the overhead of entry and agent against the same load sent directly to the engine. */
package org.hornbeamusher.bench.path;
