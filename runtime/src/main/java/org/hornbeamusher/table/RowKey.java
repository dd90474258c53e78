package org.hornbeamusher.table;

/**
 * Identifies one row of the platform's table service.
 *
 * @param table the table
 * @param key the row's key within the table; rows are scanned in key order
 */
public record RowKey(String table, String key) {}
