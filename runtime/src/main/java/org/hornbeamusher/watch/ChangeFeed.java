package org.hornbeamusher.watch;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The reads of a table service that are needed to follow one of its tables. */
public interface ChangeFeed {

  /**
   * Reads rows of a table in the order of their keys.
   *
   * @param table the table
   * @param after only rows with greater keys; empty to read from the start
   * @param failures number of failed reads in a row; retries get longer timeouts
   * @return as many rows as fit in one response, from one consistent snapshot; completes with a
   *     {@link org.hornbeamusher.failure.HornbeamusherException} while the service is unavailable
   */
  CompletableFuture<TablePage> page(String table, String after, int failures);

  /**
   * Reads the changes since a revision, with a long poll.
   *
   * @param table the table
   * @param revision the revision of the last response
   * @param waitMillis how long the service may wait for a change
   * @param failures number of failed reads in a row; retries get longer timeouts
   * @return the changes, possibly none; empty if the history no longer contains the revision, or if
   *     the service was restored from a copy since that revision was read
   */
  CompletableFuture<Optional<TableChanges>> since(
      String table, long revision, long waitMillis, int failures);
}
