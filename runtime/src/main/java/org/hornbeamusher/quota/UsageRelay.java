package org.hornbeamusher.quota;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Adds up, at an agent, the usage of client accounts that entries report, of their quotas and of
 * the capacity that they share, and forwards to each entry the usage of the others.
 *
 * <p>It keeps sums only, no limits: with a lost relay only the reports in transit are lost, and the
 * other relay receives those too.
 *
 * <p>An entry whose connection is lost may still serve callers behind a partition, so it remains
 * counted unless it has announced that it is leaving. An entry that restarts is identified by its
 * name and not counted twice.
 *
 * @param <E> identifies an entry's connection
 */
public final class UsageRelay<E> {

  /** Longest partition between regions during which a lost entry remains counted. */
  private static final long LOST_ENTRY_RETENTION_MILLIS = 3_600_000;

  /** More than the number of entries that are lost in that time. */
  private static final int MAX_LOST_ENTRIES = 4_096;

  private final QuotaSettings settings;

  /** When the connection was lost, for each entry that has not reconnected. */
  private final LinkedHashMap<String, Long> lostEntries = new LinkedHashMap<>();

  private final Map<String, Long> totals = new HashMap<>();
  private final Map<E, Entry> entries = new HashMap<>();
  private boolean changed;

  /**
   * Creates a relay without entries.
   *
   * @param settings how entries share quotas
   */
  public UsageRelay(QuotaSettings settings) {
    this.settings = settings;
  }

  /**
   * Records that an entry has connected; the usage of others from now on is forwarded to it.
   *
   * @param entry its connection
   * @param name the name of the entry, which stays the same over restarts
   */
  public void entryConnected(E entry, String name) {
    lostEntries.remove(name);
    entries.put(entry, new Entry(name, new HashMap<>(totals)));
  }

  /**
   * Records that an entry has announced that it is leaving and will accept no more callers.
   *
   * @param entry its connection
   */
  public void entryLeaving(E entry) {
    Entry leaving = entries.get(entry);
    if (leaving != null) {
      leaving.leaving = true;
    }
  }

  /**
   * Records that an entry's connection was lost. Its usage stays in the sums.
   *
   * @param entry its connection
   * @param now milliseconds
   */
  public void entryDisconnected(E entry, long now) {
    Entry closed = entries.remove(entry);
    if (closed == null || closed.leaving || connected(closed.name)) {
      return;
    }
    lostEntries.remove(closed.name);
    lostEntries.put(closed.name, now);
    if (lostEntries.size() > MAX_LOST_ENTRIES) {
      lostEntries.remove(lostEntries.firstEntry().getKey());
    }
  }

  private boolean connected(String name) {
    return entries.values().stream().anyMatch(entry -> entry.name.equals(name));
  }

  /**
   * Counts the entries that share the quotas.
   *
   * @param now milliseconds
   * @return the number of connected entries and of lost entries that may still serve callers
   */
  public int entryCount(long now) {
    lostEntries.values().removeIf(since -> now - since >= LOST_ENTRY_RETENTION_MILLIS);
    long connected = entries.values().stream().map(entry -> entry.name).distinct().count();
    return (int) connected + lostEntries.size();
  }

  /**
   * Adds a report of an entry to the sums.
   *
   * @param entry its connection
   * @param increments units admitted since its last report, by account
   * @param now milliseconds
   */
  public void recordReport(E entry, Map<String, Long> increments, long now) {
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
          // Shares need no more than the periodic updates.
          changed |= !UsageNames.isShare(account);
        });
  }

  /**
   * Returns whether usage of quotas was reported that has not been forwarded.
   *
   * @return whether {@link #forwardUsage} has new usage to send
   */
  public boolean hasUnforwardedUsage() {
    return changed;
  }

  /**
   * Returns whether any entry reports to this relay.
   *
   * @param now milliseconds
   * @return false if the entries use other relays
   */
  public boolean hasReportingEntries(long now) {
    return reportingEntryCount(now) > 0;
  }

  /**
   * Forwards to each reporting entry the usage that it does not know yet.
   *
   * @param now milliseconds
   * @param send sends the increments to one entry; also called if there are none
   */
  public void forwardUsage(long now, BiConsumer<E, Map<String, Long>> send) {
    changed = false;
    entries.forEach(
        (connection, entry) -> {
          if (entry.isReporting(now)) {
            send.accept(connection, entry.increments(totals));
          }
        });
  }

  /**
   * Counts the entries that reported recently.
   *
   * @param now milliseconds
   * @return the number of entries
   */
  public int reportingEntryCount(long now) {
    int count = 0;
    for (Entry entry : entries.values()) {
      count += entry.isReporting(now) ? 1 : 0;
    }
    return count;
  }

  private final class Entry {

    private final String name;

    /** The sum over all entries by account, as far as this entry knows it. */
    private final Map<String, Long> known;

    private boolean leaving;

    private long reportedMillis = Long.MIN_VALUE / 2;

    Entry(String name, Map<String, Long> known) {
      this.name = name;
      this.known = known;
    }

    boolean isReporting(long now) {
      return now - reportedMillis <= settings.unreachableAfterMillis(entries.size());
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
