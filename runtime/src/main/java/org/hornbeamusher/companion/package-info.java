/** The agent beside an engine that entries reach directly. */
package org.hornbeamusher.companion;
