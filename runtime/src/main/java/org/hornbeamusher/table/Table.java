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
   * @param key the row's name
   * @return the row, or empty when there is none
   */
  CompletableFuture<Optional<Row>> read(RowKey key);

  /**
   * Reads rows in key order.
   *
   * @param table the table
   * @param prefix the keys' common beginning
   * @param after only keys greater than this one; empty from the start
   * @param limit at most this many rows
   * @return the rows
   */
  CompletableFuture<List<Row>> scan(String table, String prefix, String after, int limit);

  /**
   * Applies a transaction.
   *
   * @param transaction conditions and writes
   * @return whether it took effect
   */
  CompletableFuture<CommitResult> commit(Transaction transaction);
}
