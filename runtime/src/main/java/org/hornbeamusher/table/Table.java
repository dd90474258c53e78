package org.hornbeamusher.table;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's transactional table service.
 *
 * <p>Futures fail with a {@link org.hornbeamusher.failure.HornbeamusherException}: {@code
 * PLATFORM_UNAVAILABLE} and {@code PLATFORM_THROTTLED} when nothing was written, {@code
 * PLATFORM_ANSWER_LOST} when a transaction may have taken effect.
 */
public interface Table {

  /**
   * Reads one row.
   *
   * @param key identifies the row
   * @return the row, or empty if there is none
   */
  CompletableFuture<Optional<Row>> read(RowKey key);

  /**
   * Reads rows in key order.
   *
   * @param table the table
   * @param prefix common prefix of the keys
   * @param after only keys greater than this one; empty to read from the start
   * @param limit maximum number of rows
   * @return the rows
   */
  CompletableFuture<List<Row>> scan(String table, String prefix, String after, int limit);

  /**
   * Applies a transaction.
   *
   * @param transaction conditions and writes
   * @return whether it took effect, or which condition failed
   */
  CompletableFuture<CommitResult> commit(Transaction transaction);
}
