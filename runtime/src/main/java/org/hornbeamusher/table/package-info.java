/** The platform's table service, object store and instance list as this project sees them. */
package org.hornbeamusher.table;
