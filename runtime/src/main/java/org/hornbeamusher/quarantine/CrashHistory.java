package org.hornbeamusher.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hornbeamusher.ids.EndpointIncarnation;

/**
 * The crashes of endpoints by the content of the requests that they ran, and the quarantine of
 * contents under which too many endpoints crashed. Not thread-safe.
 *
 * <p><b>Problem.</b> A request crashes every endpoint that runs it, and its caller sends it again
 * under a new id, to any entry. Each crash also ends all other requests at that endpoint.
 *
 * <p><b>Algorithm.</b> A crash shows only which requests were running, not which of them caused it.
 * So it counts for all of them. The count of a content is cleared when a request of that content is
 * completed: the endpoint survived it. What is left after some crashes is the content that caused
 * them, because other requests are completed when their callers or the entry retry them. A content
 * is quarantined when the limit is reached.
 *
 * <p>Crashes are counted by incarnation, so that the reports of several processes about one crash
 * can be merged in any order, see {@link CrashRecord}.
 *
 * <p>In contrast to {@link Quarantine}, requests that ran beside the cause are not isolated, as
 * that would delay a whole batch for each crash. They may therefore be present at a second crash,
 * and the limit must be higher.
 */
public final class CrashHistory {

  /** Reports of a crash may arrive this long after it was cleared and must not reopen it. */
  private static final long CLEARED_RETENTION_MILLIS = 60_000;

  private final QuarantineSettings settings;

  /** The least recently changed record is the first. */
  private final LinkedHashMap<RequestContent, Entry> entries = new LinkedHashMap<>();

  /** Number of records by the length of the body. */
  private final Map<Integer, Integer> bodyLengths = new HashMap<>();

  /**
   * Creates a history without crashes.
   *
   * @param settings limits
   */
  public CrashHistory(QuarantineSettings settings) {
    this.settings = settings;
  }

  /**
   * Returns whether a request can have a record. Used to avoid hashing all requests.
   *
   * @param bodyBytes length of its body
   * @return false if no record has this length
   */
  public boolean mayContain(int bodyBytes) {
    return bodyLengths.containsKey(bodyBytes);
  }

  /**
   * Records the crash of an endpoint that ran a request of a content.
   *
   * @param content the content
   * @param endpoint the incarnation that crashed
   * @param now milliseconds
   * @return the record if this changed it
   */
  public Optional<CrashRecord> recordCrash(
      RequestContent content, EndpointIncarnation endpoint, long now) {
    CrashRecord before = find(content).orElse(new CrashRecord(content, List.of()));
    return replace(before, before.with(endpoint), now);
  }

  /**
   * Records that an endpoint completed a request of a content, which clears its crashes.
   *
   * @param content the content
   * @param now milliseconds
   * @return the record if it had crashes that were not cleared
   */
  public Optional<CrashRecord> clear(RequestContent content, long now) {
    return find(content).flatMap(before -> replace(before, before.cleared(), now));
  }

  /**
   * Merges the record of another process.
   *
   * @param other its record
   * @param now milliseconds
   * @return the merged record if it differs from what was known
   */
  public Optional<CrashRecord> merge(CrashRecord other, long now) {
    CrashRecord before = find(other.content()).orElse(new CrashRecord(other.content(), List.of()));
    return replace(before, before.mergedWith(other), now);
  }

  private Optional<CrashRecord> replace(CrashRecord before, CrashRecord after, long now) {
    if (after.equals(before)) {
      return Optional.empty();
    }
    remove(after.content());
    entries.put(after.content(), new Entry(after, now));
    bodyLengths.merge(after.content().bodyBytes(), 1, Integer::sum);
    return Optional.of(after);
  }

  private void remove(RequestContent content) {
    if (entries.remove(content) != null) {
      bodyLengths.computeIfPresent(
          content.bodyBytes(), (length, count) -> count > 1 ? count - 1 : null);
    }
  }

  /**
   * Finds the record of a content.
   *
   * @param content the content
   * @return empty if no crash is known
   */
  public Optional<CrashRecord> find(RequestContent content) {
    return Optional.ofNullable(entries.get(content)).map(Entry::record);
  }

  /**
   * Decides whether requests of a content are refused.
   *
   * @param content the content
   * @param unconfirmed further endpoints that may have crashed under it
   * @return whether the limit is reached
   */
  public boolean isQuarantined(RequestContent content, int unconfirmed) {
    return find(content).map(CrashRecord::openCrashes).orElse(0) + unconfirmed
        >= settings.crashLimit();
  }

  /**
   * Returns how long a content is still quarantined if no further endpoint crashes.
   *
   * @param content the content
   * @param now milliseconds
   * @return milliseconds; 0 if it has no record
   */
  public long remainingMillis(RequestContent content, long now) {
    return Optional.ofNullable(entries.get(content))
        .map(entry -> Math.max(0, expiryMillis(entry) - now))
        .orElse(0L);
  }

  /**
   * Returns the records with crashes that are not cleared.
   *
   * @return the least recently changed one first
   */
  public List<CrashRecord> openRecords() {
    return entries.values().stream()
        .map(Entry::record)
        .filter(record -> record.openCrashes() > 0)
        .toList();
  }

  /**
   * Counts the quarantined contents.
   *
   * @return their number
   */
  public int quarantined() {
    return (int)
        entries.values().stream()
            .filter(entry -> entry.record().openCrashes() >= settings.crashLimit())
            .count();
  }

  /**
   * Removes the records that have expired, and the least recently changed ones beyond the capacity.
   *
   * @param now milliseconds
   * @return the contents of the removed records
   */
  public List<RequestContent> removeExpired(long now) {
    List<RequestContent> removed = new ArrayList<>();
    int excess = entries.size() - settings.capacity();
    Iterator<Entry> oldestFirst = List.copyOf(entries.values()).iterator();
    while (oldestFirst.hasNext()) {
      Entry entry = oldestFirst.next();
      if (removed.size() < excess || now >= expiryMillis(entry)) {
        removed.add(entry.record().content());
      }
    }
    removed.forEach(this::remove);
    return removed;
  }

  private long expiryMillis(Entry entry) {
    int open = entry.record().openCrashes();
    if (open == 0) {
      return entry.changedMillis() + CLEARED_RETENTION_MILLIS;
    }
    boolean quarantined = open >= settings.crashLimit();
    return entry.changedMillis()
        + (quarantined ? settings.quarantineMillis() : settings.suspectMillis());
  }

  private record Entry(CrashRecord record, long changedMillis) {}
}
