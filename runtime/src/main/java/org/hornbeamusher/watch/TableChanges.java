package org.hornbeamusher.watch;

import java.util.List;
import org.hornbeamusher.transfer.TransferStats;

/**
 * The content or the changes of a table, as returned by a table service.
 *
 * @param rows all rows, or those that changed
 * @param revision the service's newest revision; later changes have a higher one
 * @param complete whether these are all rows of the table, not only the changed ones
 * @param transfer duration and size of the response
 */
public record TableChanges(
    List<ChangedRow> rows, long revision, boolean complete, TransferStats transfer) {

  /** Copies the list. */
  public TableChanges {
    rows = List.copyOf(rows);
  }

  /**
   * Creates an instance without duration and size of the response.
   *
   * @param rows all rows, or those that changed
   * @param revision the service's newest revision
   * @param complete whether these are all rows of the table
   */
  public TableChanges(List<ChangedRow> rows, long revision, boolean complete) {
    this(rows, revision, complete, TransferStats.NONE);
  }
}
