/** Decides which adapters an engine keeps loaded, and which orders its agent sends for that. */
package org.hornbeamusher.holdings;
