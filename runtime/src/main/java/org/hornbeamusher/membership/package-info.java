/** Which peers exist, which of them take work, and which connections are dead. */
package org.hornbeamusher.membership;
