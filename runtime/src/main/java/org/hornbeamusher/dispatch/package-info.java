/**
 * The entry's side of attempts at agents, from sending the dispatch message to the complete
 * response.
 */
package org.hornbeamusher.dispatch;
