/** The agent beside an engine to which entries send their requests directly. */
package org.hornbeamusher.sidecar;
