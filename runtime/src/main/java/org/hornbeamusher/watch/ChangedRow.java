package org.hornbeamusher.watch;

/**
 * A row as it is now.
 *
 * @param key the row's key within its table
 * @param content its value, or why there is none
 */
public record ChangedRow(String key, RowContent content) {}
