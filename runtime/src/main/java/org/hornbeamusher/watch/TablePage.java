package org.hornbeamusher.watch;

import java.util.List;
import org.hornbeamusher.transfer.TransferStats;

/**
 * Some rows of a table in the order of their keys.
 *
 * @param rows the rows
 * @param revision the service's newest revision when they were read
 * @param more whether rows with greater keys follow
 * @param era rises when the service was restored from a copy
 * @param transfer duration and size of the response
 */
public record TablePage(
    List<ChangedRow> rows, long revision, boolean more, long era, TransferStats transfer) {

  /** Copies the list. */
  public TablePage {
    rows = List.copyOf(rows);
  }

  /**
   * Creates a page of a service that was not restored.
   *
   * @param rows the rows
   * @param revision the service's newest revision when they were read
   * @param more whether rows with greater keys follow
   * @param transfer duration and size of the response
   */
  public TablePage(List<ChangedRow> rows, long revision, boolean more, TransferStats transfer) {
    this(rows, revision, more, 0, transfer);
  }
}
