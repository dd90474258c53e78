package org.hornbeamusher.table;

import java.util.Optional;

/** The result of a transaction. */
public sealed interface CommitResult {

  /** All writes took effect. */
  record Committed() implements CommitResult {}

  /**
   * A condition did not hold and nothing was written.
   *
   * @param key the first row whose condition failed
   * @param current the current row; empty if there is none
   */
  record Conflict(RowKey key, Optional<Row> current) implements CommitResult {}
}
