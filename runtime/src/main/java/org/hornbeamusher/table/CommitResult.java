package org.hornbeamusher.table;

import java.util.Optional;

/** How the table service decided on a transaction. */
public sealed interface CommitResult {

  /** Every write took effect. */
  record Committed() implements CommitResult {}

  /**
   * A condition did not hold and nothing was written.
   *
   * @param key the first row whose condition failed
   * @param current that row as it is now
   */
  record Conflict(RowKey key, Optional<Row> current) implements CommitResult {}
}
