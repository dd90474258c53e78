package org.hornbeamusher.watch;

import java.util.List;

/**
 * What a table service says of a table.
 *
 * @param rows the rows, or those that changed
 * @param revision the service's newest revision; later changes have a higher one
 * @param complete whether these are all rows of the table, not just changes
 */
public record Changes(List<ChangedRow> rows, long revision, boolean complete) {

  /** Copies the list. */
  public Changes {
    rows = List.copyOf(rows);
  }
}
