package org.hornbeamusher.table;

/**
 * One row as it was read.
 *
 * @param key the row's name
 * @param revision rises with every write of the row, from 1
 * @param value the row's content, at most 1 MiB
 */
public record Row(RowKey key, long revision, byte[] value) {}
