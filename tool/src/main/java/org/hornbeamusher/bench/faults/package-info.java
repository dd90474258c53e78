/** Draws histories of faults at random and checks what must always hold in each of them. */
package org.hornbeamusher.bench.faults;
