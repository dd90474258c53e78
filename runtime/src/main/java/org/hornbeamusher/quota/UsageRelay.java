package org.hornbeamusher.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Adds up, at an agent, the usage of client accounts that entries report, of their quotas and of
 * the capacity that they share, and forwards to each entry the usage of the others.
 *
 * <p>It keeps the usage of a window, no limits: entries report the whole window to a relay that
 * they choose anew. See {@link WindowedUsage}.
 *
 * <p>Usage of an entry that has ended remains until it has left the window.
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

  /** Bounds the memory of a relay; the longest window of a quota that is enforced in full. */
  private static final long MAX_WINDOW_MILLIS = 60_000;

  /** More than the number of entries that are lost in that time. */
  private static final int MAX_LOST_ENTRIES = 4_096;

  /** Bounds an update; an entry then knows only how many are silent. */
  private static final int MAX_SILENT_NAMES = 64;

  private final QuotaSettings settings;

  /** When the connection was lost, for each entry that has not reconnected. */
  private final LinkedHashMap<String, Long> lostEntries = new LinkedHashMap<>();

  private final RelayedUsage quotas = new RelayedUsage(0);
  private final RelayedUsage shares = new RelayedUsage(UsageNames.SHARE_WINDOW_MILLIS);
  private final Map<E, Entry> entries = new HashMap<>();
  private boolean changed;

  /** When an entry connected last that was neither connected nor lost. */
  private long newEntryMillis;

  /** Since when entries report to this relay. */
  private long reportedSinceMillis;

  /**
   * Creates a relay without entries.
   *
   * @param settings how entries share quotas
   */
  public UsageRelay(QuotaSettings settings) {
    this.settings = settings;
  }

  /**
   * Records that an entry has connected; the usage of others in the window is forwarded to it.
   *
   * @param entry its connection
   * @param name the name of the entry, which stays the same over restarts
   * @param incarnation distinguishes it from an earlier process of the name
   * @param now milliseconds
   */
  public void entryConnected(E entry, String name, long incarnation, long now) {
    boolean lost = lostEntries.remove(name) != null;
    if (!lost && !connected(name)) {
      newEntryMillis = now;
    }
    entries.put(entry, new Entry(name, incarnation));
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
   * Records a report of an entry.
   *
   * @param entry its connection
   * @param windowMillis for how long usage of quotas counts at the entry
   * @param sentMillis when the entry sent the report, by its own clock
   * @param usage the steps that have changed since its last report
   * @param unknownEntries names of entries whose usage it may not know
   * @param now milliseconds
   */
  public void recordReport(
      E entry,
      long windowMillis,
      long sentMillis,
      List<UsageAtStep> usage,
      Collection<String> unknownEntries,
      long now) {
    Entry from = entries.get(entry);
    if (from == null) {
      return;
    }
    if (!hasReportingEntries(now)) {
      reportedSinceMillis = now;
    }
    from.reportedMillis = now;
    from.reportSentMillis = sentMillis;
    from.unknownEntries = unknownEntries;
    long currentStep = UsageSteps.stepOf(sentMillis);
    quotas.extendWindow(Math.min(windowMillis, MAX_WINDOW_MILLIS));
    for (UsageAtStep one : usage) {
      if (UsageNames.isShare(one.name())) {
        // Shares need no more than the periodic updates.
        shares.record(from.incarnation, one, currentStep, now);
      } else {
        changed |= quotas.record(from.incarnation, one, currentStep, now);
      }
    }
  }

  /**
   * Returns for how long this relay has added up usage. Of the time before it knows what entries
   * state that still run, and nothing of those that have ended.
   *
   * @param now milliseconds
   * @return milliseconds
   */
  public long knownMillis(long now) {
    return now - reportedSinceMillis;
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
   * @param send sends the changed steps to one entry; also called if there are none
   */
  public void forwardUsage(long now, Forwarding<E> send) {
    changed = false;
    quotas.removeIdle(now);
    shares.removeIdle(now);
    List<Entry> reporting =
        entries.values().stream().filter(entry -> entry.isReporting(now)).toList();
    Set<String> hidden = new HashSet<>();
    reporting.forEach(entry -> hidden.addAll(entry.unknownEntries));
    List<String> silent = silentEntries(reporting);
    int entryCount = entryCount(now);
    entries.forEach(
        (connection, entry) -> {
          if (entry.isReporting(now)) {
            RelayStatus status =
                new RelayStatus(
                    entry.reportSentMillis,
                    knownMillis(now),
                    now - newEntryMillis,
                    reporting.size(),
                    entryCount,
                    silent,
                    hidden.contains(entry.name));
            send.forward(connection, entry.takeChanges(now), status);
          }
        });
  }

  private List<String> silentEntries(List<Entry> reporting) {
    Set<String> silent = new TreeSet<>(lostEntries.keySet());
    entries.values().forEach(entry -> silent.add(entry.name));
    reporting.forEach(entry -> silent.remove(entry.name));
    return silent.stream().limit(MAX_SILENT_NAMES).toList();
  }

  /**
   * Sends an update to an entry.
   *
   * @param <E> identifies an entry's connection
   */
  @FunctionalInterface
  public interface Forwarding<E> {

    /**
     * Sends an update to an entry.
     *
     * @param entry its connection
     * @param usage the steps in which the usage of others has changed
     * @param status what the relay knows of the entries
     */
    void forward(E entry, List<UsageAtStep> usage, RelayStatus status);
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
    private final RelayedUsage.EntryIncarnation incarnation;
    private long sentQuotaChange;
    private long sentShareChange;
    private boolean leaving;
    private long reportedMillis = Long.MIN_VALUE / 2;

    /** When the last report was sent, by the clock of the entry. */
    private long reportSentMillis;

    private Collection<String> unknownEntries = List.of();

    Entry(String name, long incarnation) {
      this.name = name;
      this.incarnation = new RelayedUsage.EntryIncarnation(name, incarnation);
    }

    boolean isReporting(long now) {
      return now - reportedMillis <= settings.unreachableAfterMillis(entries.size());
    }

    List<UsageAtStep> takeChanges(long now) {
      List<UsageAtStep> changes = quotas.others(incarnation, sentQuotaChange, now);
      changes.addAll(shares.others(incarnation, sentShareChange, now));
      sentQuotaChange = quotas.lastChange();
      sentShareChange = shares.lastChange();
      return changes;
    }
  }
}
