package org.hornbeamusher.watch;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** What is asked of a table service to follow one of its tables. */
public interface ChangeFeed {

  /**
   * Reads rows of a table in the order of their keys.
   *
   * @param table the table
   * @param after only rows with greater keys; empty from the start
   * @param failures how many reads in a row have failed; a repeat gets more time
   * @return as many rows as one answer holds, as of one moment; fails with a typed failure while
   *     the service is away
   */
  CompletableFuture<Page> page(String table, String after, int failures);

  /**
   * Reads what has changed, as soon as something has.
   *
   * @param table the table
   * @param revision where the last answer left off
   * @param waitMillis how long the service may wait for a change
   * @param failures how many reads in a row have failed; a repeat gets more time
   * @return the changes, perhaps none; empty when the history no longer reaches back that far
   */
  CompletableFuture<Optional<Changes>> since(
      String table, long revision, long waitMillis, int failures);
}
