/** Value types for the identifiers that cross slices. */
package org.hornbeamusher.ids;
