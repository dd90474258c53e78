package org.hornbeamusher.watch;

/**
 * The current state of a row.
 *
 * @param key the row's key within its table
 * @param content its value, or why there is none
 */
public record ChangedRow(String key, RowContent content) {}
