/** Attempts of an entry at agents: from the frame that is sent to the answer that is whole. */
package org.hornbeamusher.dispatch;
