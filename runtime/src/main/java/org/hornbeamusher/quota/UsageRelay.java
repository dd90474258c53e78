package org.hornbeamusher.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Adds up at an agent what entries report of their client accounts' usage, and passes on to each
 * entry what the others have used.
 *
 * <p>It keeps sums only, never a limit: a relay that is lost takes nothing with it but the reports
 * that were on their way, and the other relay has those too.
 *
 * @param <E> identifies an entry's connection
 */
public final class UsageRelay<E> {

  private final QuotaSettings settings;
  private final Map<String, Long> totals = new HashMap<>();
  private final Map<E, Entry> entries = new HashMap<>();
  private boolean changed;

  /**
   * Creates a relay without entries.
   *
   * @param settings how entries share
   */
  public UsageRelay(QuotaSettings settings) {
    this.settings = settings;
  }

  /**
   * An entry has connected; it receives what is used from now on.
   *
   * @param entry its connection
   */
  public void opened(E entry) {
    entries.put(entry, new Entry(new HashMap<>(totals)));
  }

  /**
   * An entry's connection was lost. What it has used stays in the sums.
   *
   * @param entry its connection
   */
  public void closed(E entry) {
    entries.remove(entry);
  }

  /**
   * Counts the entries that are connected.
   *
   * @return how many
   */
  public int size() {
    return entries.size();
  }

  /**
   * An entry reports.
   *
   * @param entry its connection
   * @param increments units by account since its last report
   * @param now milliseconds
   */
  public void reported(E entry, Map<String, Long> increments, long now) {
    Entry from = entries.get(entry);
    if (from == null) {
      return;
    }
    from.reportedMillis = now;
    increments.forEach(
        (account, units) -> {
          totals.merge(account, units, Long::sum);
          // An entry's own usage is not sent back to it.
          from.known.merge(account, units, Long::sum);
          changed = true;
        });
  }

  /**
   * Returns whether usage was reported that was not passed on.
   *
   * @return whether {@link #pass} has something new to say
   */
  public boolean changed() {
    return changed;
  }

  /**
   * Returns whether any entry reports here.
   *
   * @param now milliseconds
   * @return false when other relays are used
   */
  public boolean used(long now) {
    return reachable(now) > 0;
  }

  /**
   * Passes on what each entry does not know yet.
   *
   * @param now milliseconds
   * @param send takes the increments of one entry, also when there are none
   */
  public void pass(long now, BiConsumer<E, Map<String, Long>> send) {
    changed = false;
    entries.forEach(
        (connection, entry) -> {
          if (entry.reports(now)) {
            send.accept(connection, entry.increments(totals));
          }
        });
  }

  /**
   * Counts the entries that reported lately.
   *
   * @param now milliseconds
   * @return how many
   */
  public int reachable(long now) {
    int count = 0;
    for (Entry entry : entries.values()) {
      count += entry.reports(now) ? 1 : 0;
    }
    return count;
  }

  private final class Entry {

    /** By account, the sum of all entries as far as this one knows it. */
    private final Map<String, Long> known;

    private long reportedMillis = Long.MIN_VALUE / 2;

    Entry(Map<String, Long> known) {
      this.known = known;
    }

    boolean reports(long now) {
      return now - reportedMillis <= settings.silentMillis(entries.size());
    }

    Map<String, Long> increments(Map<String, Long> sums) {
      Map<String, Long> increments = new HashMap<>();
      sums.forEach(
          (account, sum) -> {
            long unsent = sum - known.getOrDefault(account, 0L);
            if (unsent != 0) {
              increments.put(account, unsent);
              known.put(account, sum);
            }
          });
      return increments;
    }
  }
}
