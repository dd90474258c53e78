package org.hornbeamusher.quota;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Adds up at an agent what entries report of their client accounts' usage, and passes on to each
 * entry what the others have used.
 *
 * <p>It keeps sums only, never a limit: a relay that is lost takes nothing with it but the reports
 * that were on their way, and the other relay has those too.
 *
 * <p>An entry whose connection is lost may be serving callers behind a partition, so it goes on
 * being counted, unless it has said that it leaves. One that starts again takes its place by its
 * name.
 *
 * @param <E> identifies an entry's connection
 */
public final class UsageRelay<E> {

  /** The longest partition between regions that is reckoned with. */
  private static final long LOST_MILLIS = 3_600_000;

  /** More entries than are lost in that time. */
  private static final int MOST_LOST = 4_096;

  private final QuotaSettings settings;

  /** When the connection of each entry was lost that has not connected again. */
  private final LinkedHashMap<String, Long> lost = new LinkedHashMap<>();

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
   * @param name the entry's, also after it has started again
   */
  public void opened(E entry, String name) {
    lost.remove(name);
    entries.put(entry, new Entry(name, new HashMap<>(totals)));
  }

  /**
   * An entry says that it will not take callers any more.
   *
   * @param entry its connection
   */
  public void left(E entry) {
    Entry leaving = entries.get(entry);
    if (leaving != null) {
      leaving.left = true;
    }
  }

  /**
   * An entry's connection was lost. What it has used stays in the sums.
   *
   * @param entry its connection
   * @param now milliseconds
   */
  public void closed(E entry, long now) {
    Entry closed = entries.remove(entry);
    if (closed == null || closed.left || connected(closed.name)) {
      return;
    }
    lost.remove(closed.name);
    lost.put(closed.name, now);
    if (lost.size() > MOST_LOST) {
      lost.remove(lost.firstEntry().getKey());
    }
  }

  private boolean connected(String name) {
    return entries.values().stream().anyMatch(entry -> entry.name.equals(name));
  }

  /**
   * Counts the entries that share the quotas.
   *
   * @param now milliseconds
   * @return those that are connected, and those that may serve callers out of reach
   */
  public int size(long now) {
    lost.values().removeIf(since -> now - since >= LOST_MILLIS);
    long connected = entries.values().stream().map(entry -> entry.name).distinct().count();
    return (int) connected + lost.size();
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

    private final String name;

    /** By account, the sum of all entries as far as this one knows it. */
    private final Map<String, Long> known;

    private boolean left;

    private long reportedMillis = Long.MIN_VALUE / 2;

    Entry(String name, Map<String, Long> known) {
      this.name = name;
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
