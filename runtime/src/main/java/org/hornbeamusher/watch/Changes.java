package org.hornbeamusher.watch;

import java.util.List;
import org.hornbeamusher.transfer.Transfer;

/**
 * What a table service says of a table.
 *
 * @param rows the rows, or those that changed
 * @param revision the service's newest revision; later changes have a higher one
 * @param complete whether these are all rows of the table, not just changes
 * @param transfer what the answer took to arrive
 */
public record Changes(List<ChangedRow> rows, long revision, boolean complete, Transfer transfer) {

  /** Copies the list. */
  public Changes {
    rows = List.copyOf(rows);
  }

  /**
   * Creates an answer of which it does not matter what it took.
   *
   * @param rows the rows, or those that changed
   * @param revision the service's newest revision
   * @param complete whether these are all rows of the table
   */
  public Changes(List<ChangedRow> rows, long revision, boolean complete) {
    this(rows, revision, complete, Transfer.NONE);
  }
}
