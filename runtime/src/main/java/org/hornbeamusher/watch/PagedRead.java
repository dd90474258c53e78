package org.hornbeamusher.watch;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamusher.transfer.TransferStats;

/**
 * Collects the pages of a table that is being read.
 *
 * <p>Pages that have arrived are kept when a later one fails. If each read began at the start, a
 * table of many pages would never be complete while one call in ten fails.
 *
 * <p>The result has the revision of its first page. A row of that page may change before the last
 * page is read, and the change feed must then start before that change.
 */
final class PagedRead {

  private final List<ChangedRow> rows = new ArrayList<>();
  private TransferStats transfer = TransferStats.NONE;
  private long revision;
  private long era;
  private int pages;
  private boolean more = true;

  private long requestedMillis;

  /** Returns whether a page can be added: all pages must be from one era of the service. */
  boolean accepts(TablePage page) {
    return pages == 0 || page.era() == era;
  }

  /** Adds the next page, which was requested at the given time. */
  void add(TablePage page, long pageRequestedMillis) {
    if (pages == 0) {
      revision = page.revision();
      era = page.era();
      requestedMillis = pageRequestedMillis;
    }
    pages++;
    rows.addAll(page.rows());
    transfer = transfer.plus(page.transfer());
    more = page.more() && !page.rows().isEmpty();
  }

  /** Returns when the first page was requested: all rows may be as old as that. */
  long requestedMillis() {
    return requestedMillis;
  }

  /** Returns the key after which the next page starts; empty for the first page. */
  String after() {
    return rows.isEmpty() ? "" : rows.get(rows.size() - 1).key();
  }

  boolean isComplete() {
    return !more;
  }

  TableChanges changes() {
    return new TableChanges(rows, revision, true, transfer);
  }
}
