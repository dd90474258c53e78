/** Decides which adapters the engine beside an agent holds, and which orders bring that about. */
package org.hornbeamusher.holdings;
