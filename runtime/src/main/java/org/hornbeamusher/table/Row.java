package org.hornbeamusher.table;

/**
 * One row as it was read.
 *
 * @param key identifies the row
 * @param revision increases with every write of the row, starting at 1
 * @param value the row's content, at most 1 MiB
 */
public record Row(RowKey key, long revision, byte[] value) {}
