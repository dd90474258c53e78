package org.hornbeamusher.watch;

/**
 * A row as it is now.
 *
 * @param key the row's key within its table
 * @param value its content; empty for a row that was deleted
 * @param deleted whether it is no more
 */
public record ChangedRow(String key, byte[] value, boolean deleted) {}
