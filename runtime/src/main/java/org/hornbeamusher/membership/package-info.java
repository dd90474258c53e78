/** Tracks which peers exist, which of them accept requests and which connections are dead. */
package org.hornbeamusher.membership;
