/** Clients of the platform's table service and instance list. */
package org.hornbeamusher.table;
