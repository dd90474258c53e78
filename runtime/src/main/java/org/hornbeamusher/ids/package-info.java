/** Value types for the identifiers that are used by several packages. */
package org.hornbeamusher.ids;
