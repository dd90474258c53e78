/** Follows changes of tables in the platform's table service. */
package org.hornbeamusher.watch;
