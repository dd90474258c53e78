package org.hornbeamusher.watch;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamusher.transfer.Transfer;

/**
 * A table that is being read page by page.
 *
 * <p>Pages that have arrived stay when a later one fails: read from the start each time, a table of
 * many pages would never be whole while one call in ten fails.
 *
 * <p>The whole bears the revision of its first page. A row of that page may change before the last
 * one is read, and the feed must then begin before that change.
 */
final class PagedRead {

  private final List<ChangedRow> rows = new ArrayList<>();
  private Transfer transfer = Transfer.NONE;
  private long revision;
  private int pages;
  private boolean more = true;

  private long askedMillis;

  /** Takes the next page, for which was asked at some moment. */
  void add(Page page, long pageAskedMillis) {
    if (pages == 0) {
      revision = page.revision();
      askedMillis = pageAskedMillis;
    }
    pages++;
    rows.addAll(page.rows());
    transfer = transfer.and(page.transfer());
    more = page.more() && !page.rows().isEmpty();
  }

  /** Returns when the first page was asked for: all of it may be as old as that. */
  long askedMillis() {
    return askedMillis;
  }

  /** Returns the key after which the next page begins; empty at the start. */
  String after() {
    return rows.isEmpty() ? "" : rows.get(rows.size() - 1).key();
  }

  boolean whole() {
    return !more;
  }

  Changes changes() {
    return new Changes(rows, revision, true, transfer);
  }
}
