package org.hornbeamusher.watch;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** What is asked of a table service to follow one of its tables. */
public interface ChangeFeed {

  /**
   * Reads every row of a table.
   *
   * @param table the table
   * @return all rows as of one moment; fails with a typed failure while the service is away
   */
  CompletableFuture<Changes> all(String table);

  /**
   * Reads what has changed, as soon as something has.
   *
   * @param table the table
   * @param revision where the last answer left off
   * @param waitMillis how long the service may wait for a change
   * @return the changes, perhaps none; empty when the history no longer reaches back that far
   */
  CompletableFuture<Optional<Changes>> since(String table, long revision, long waitMillis);
}
