/** Fault-injection simulation: random histories in which invariants must hold. */
package org.hornbeamusher.bench.faults;
