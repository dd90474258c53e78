package org.hornbeamusher.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.ids.EndpointIncarnation;

/**
 * The crashes of endpoints by what the requests that they ran have in common, and the quarantine of
 * suspects under which too many endpoints crashed. Not thread-safe.
 *
 * <p><b>Problem.</b> A request crashes every endpoint that runs it, and its caller sends it again
 * under a new id, to any entry; or requests that differ crash endpoints by a part of their prompts.
 * Each crash also ends all other requests at that endpoint.
 *
 * <p><b>Algorithm.</b> A crash shows only which requests were running, not which of them caused it.
 * So it counts for the content of each, for its path, client account and body, and for the parts of
 * its prompt. The count of a suspect is cleared when a request with it is answered: the endpoint
 * survived it. A failure of the endpoint shows less, as it may not have begun the work, and only
 * several clear the count. What is left after some crashes is what caused them, because other
 * requests are completed when their callers or the entry retry them. A suspect is quarantined when
 * the limit is reached; see {@link PromptPartQuarantine} and {@link PathQuarantine} for what that
 * means for parts and paths, which many requests share.
 *
 * <p>Crashes are counted by incarnation, so that the reports of several processes about one crash
 * can be merged in any order, see {@link CrashRecord}. Those that may have another cause in common
 * count once, see {@link IndependentCrashes}.
 *
 * <p>In contrast to {@link Quarantine}, requests that ran beside the cause are not isolated, as
 * that would delay a whole batch for each crash. They may therefore be present at a second crash,
 * and the limit must be higher.
 */
public final class CrashHistory {

  /** Reports of a crash may arrive this long after it was cleared and must not reopen it. */
  private static final long CLEARED_RETENTION_MILLIS = 60_000;

  private static final long PATH_RETENTION_MILLIS = 60 * 60_000;

  /**
   * Endpoints may fail a request without running it. One that crashes the others reaches the crash
   * limit before it has failed so often; one that always fails does not.
   */
  private static final int FAILED_RESPONSES_TO_CLEAR = 10;

  private final QuarantineSettings settings;

  /** The least recently changed record is the first. */
  private final LinkedHashMap<CrashSuspect, Entry> entries = new LinkedHashMap<>();

  /** Number of records of contents and of paths with bodies, by the length of the body. */
  private final Map<Integer, Integer> bodyLengths = new HashMap<>();

  /** The parts with crashes that are not cleared. */
  private final Set<PromptPartId> openParts = new HashSet<>();

  private final Set<CrashSuspect> quarantined = new LinkedHashSet<>();

  /** Failures without a crash of suspects with crashes that are not cleared. */
  private final Map<CrashSuspect, Integer> failedResponses = new HashMap<>();

  private final SurvivedParts survivedParts = new SurvivedParts();

  /**
   * Creates a history without crashes.
   *
   * @param settings limits
   */
  public CrashHistory(QuarantineSettings settings) {
    this.settings = settings;
  }

  /**
   * Returns the number of crashes from which a suspect is quarantined.
   *
   * @return the limit
   */
  public int crashLimit() {
    return settings.crashLimit();
  }

  /**
   * Returns whether the content of a request can have a record. Used to avoid hashing all requests.
   *
   * @param bodyBytes length of its body
   * @return false if no record has this length
   */
  public boolean mayContain(int bodyBytes) {
    return bodyLengths.containsKey(bodyBytes);
  }

  /**
   * Returns whether a part of a prompt may have crashes that are not cleared.
   *
   * @return false if there are none
   */
  public boolean hasOpenParts() {
    return !openParts.isEmpty();
  }

  /**
   * Returns the suspects at the limit.
   *
   * @return a view
   */
  public Set<CrashSuspect> quarantined() {
    return Collections.unmodifiableSet(quarantined);
  }

  /**
   * Records the crash of an endpoint at an unknown time.
   *
   * @param suspect the suspect
   * @param endpoint the incarnation that crashed
   * @param now milliseconds
   * @return as {@link #recordCrash(CrashSuspect, CrashRecord.Crash, long)}
   */
  public Optional<CrashRecord> recordCrash(
      CrashSuspect suspect, EndpointIncarnation endpoint, long now) {
    return recordCrash(suspect, new CrashRecord.Crash(endpoint, false), now);
  }

  /**
   * Records the crash of an endpoint that ran a request with a suspect.
   *
   * @param suspect the suspect
   * @param crash the crash
   * @param now milliseconds
   * @return the record if this changed it; empty also for a part that an endpoint has recently
   *     survived
   */
  public Optional<CrashRecord> recordCrash(
      CrashSuspect suspect, CrashRecord.Crash crash, long now) {
    if (hasSurvived(suspect, now)) {
      return Optional.empty();
    }
    CrashRecord before = find(suspect).orElse(new CrashRecord(suspect, List.of()));
    return replace(before, before.with(crash), now);
  }

  /**
   * Records that an endpoint answered on a part of a prompt without a crash, which clears the
   * crashes of that part.
   *
   * @param part the part
   * @param now milliseconds
   * @return the record if it had crashes that were not cleared
   */
  public Optional<CrashRecord> recordSurvival(PromptPartId part, long now) {
    survivedParts.add(part, now);
    return openParts.contains(part) ? clear(part, now) : Optional.empty();
  }

  /**
   * Returns whether an endpoint has recently answered on a part without a crash.
   *
   * @param suspect the suspect
   * @param now milliseconds
   * @return false for contents
   */
  public boolean hasSurvived(CrashSuspect suspect, long now) {
    return suspect instanceof PromptPartId part && survivedParts.contains(part, now);
  }

  /**
   * Clears the crashes of a suspect.
   *
   * @param suspect the suspect
   * @param now milliseconds
   * @return the record if it had crashes that were not cleared
   */
  public Optional<CrashRecord> clear(CrashSuspect suspect, long now) {
    return find(suspect).flatMap(before -> replace(before, before.cleared(), now));
  }

  /**
   * Records that an endpoint failed a request without a crash. A number of failures clears the
   * crashes of the suspect.
   *
   * @param suspect the suspect
   * @param now milliseconds
   * @return the record if it had crashes that were not cleared and are now
   */
  public Optional<CrashRecord> recordFailedResponse(CrashSuspect suspect, long now) {
    if (openCrashes(suspect).isEmpty()) {
      return Optional.empty();
    }
    int count = failedResponses.merge(suspect, 1, Integer::sum);
    return count < FAILED_RESPONSES_TO_CLEAR ? Optional.empty() : clear(suspect, now);
  }

  /**
   * Merges the record of another process.
   *
   * @param other its record
   * @param now milliseconds
   * @return the merged record if it differs from what was known
   */
  public Optional<CrashRecord> merge(CrashRecord other, long now) {
    CrashRecord before = find(other.suspect()).orElse(new CrashRecord(other.suspect(), List.of()));
    CrashRecord merged = before.mergedWith(other);
    return replace(before, hasSurvived(other.suspect(), now) ? merged.cleared() : merged, now);
  }

  /**
   * Returns what the sender of a record lacks. It may report a crash after others have cleared it,
   * or one of a part that another process has seen answered.
   *
   * @param received a record that was merged
   * @return the own record, if a crash of the received one is cleared in it
   */
  public Optional<CrashRecord> correction(CrashRecord received) {
    return find(received.suspect()).filter(own -> own.clearsAnyOf(received));
  }

  private Optional<CrashRecord> replace(CrashRecord before, CrashRecord after, long now) {
    if (after.equals(before)) {
      return Optional.empty();
    }
    remove(after.suspect());
    if (after.openCrashes() == 0) {
      failedResponses.remove(after.suspect());
    }
    entries.put(after.suspect(), new Entry(after, now));
    if (isQuarantined(after.suspect(), 0)) {
      quarantined.add(after.suspect());
    }
    switch (after.suspect()) {
      case RequestContent content -> bodyLengths.merge(content.bodyBytes(), 1, Integer::sum);
      case PathContent path -> bodyLengths.merge(path.bodyBytes(), 1, Integer::sum);
      case PromptPartId part -> {
        if (after.openCrashes() > 0) {
          openParts.add(part);
        }
      }
    }
    return Optional.of(after);
  }

  private void remove(CrashSuspect suspect) {
    if (entries.remove(suspect) == null) {
      return;
    }
    quarantined.remove(suspect);
    switch (suspect) {
      case RequestContent content -> removeBodyLength(content.bodyBytes());
      case PathContent path -> removeBodyLength(path.bodyBytes());
      case PromptPartId part -> openParts.remove(part);
    }
  }

  private void removeBodyLength(int bodyBytes) {
    bodyLengths.computeIfPresent(bodyBytes, (length, count) -> count > 1 ? count - 1 : null);
  }

  /**
   * Finds the record of a suspect.
   *
   * @param suspect the suspect
   * @return empty if no crash is known
   */
  public Optional<CrashRecord> find(CrashSuspect suspect) {
    return Optional.ofNullable(entries.get(suspect)).map(Entry::record);
  }

  /**
   * Returns the crashes of a suspect that are not cleared.
   *
   * @param suspect the suspect
   * @return one for each incarnation
   */
  public List<CrashRecord.Crash> openCrashes(CrashSuspect suspect) {
    Entry entry = entries.get(suspect);
    return entry == null ? List.of() : entry.record().open();
  }

  /**
   * Counts the crashes of a suspect that are not cleared and had no other cause in common.
   *
   * @param suspect the suspect
   * @return 0 if it has no record
   */
  public int independentCrashes(CrashSuspect suspect) {
    Entry entry = entries.get(suspect);
    return entry == null ? 0 : entry.independentCrashes();
  }

  /**
   * Decides whether the limit of a suspect is reached.
   *
   * @param suspect the suspect
   * @param unconfirmed number of further independent crashes that it may have caused
   * @return whether the limit is reached
   */
  public boolean isQuarantined(CrashSuspect suspect, int unconfirmed) {
    return independentCrashes(suspect) + unconfirmed >= settings.crashLimit();
  }

  /**
   * Decides whether the limit of a suspect is reached.
   *
   * @param suspect the suspect
   * @param unconfirmed further endpoints that may have crashed under it
   * @return whether the limit is reached
   */
  public boolean isQuarantined(CrashSuspect suspect, List<CrashRecord.Crash> unconfirmed) {
    if (unconfirmed.isEmpty()) {
      return isQuarantined(suspect, 0);
    }
    CrashRecord known = find(suspect).orElse(new CrashRecord(suspect, List.of()));
    return known.mergedWith(new CrashRecord(suspect, unconfirmed)).independentCrashes()
        >= settings.crashLimit();
  }

  /**
   * Returns how long a suspect is still quarantined if no further endpoint crashes.
   *
   * @param suspect the suspect
   * @param now milliseconds
   * @return milliseconds; 0 if it has no record
   */
  public long remainingMillis(CrashSuspect suspect, long now) {
    return Optional.ofNullable(entries.get(suspect))
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
   * Removes the records that have expired, and those beyond the capacity: the ones below the limit
   * first, the least recently changed first.
   *
   * @param now milliseconds
   * @return the suspects of the removed records
   */
  public List<CrashSuspect> removeExpired(long now) {
    List<CrashSuspect> removed = new ArrayList<>();
    entries.values().stream()
        .filter(entry -> now >= expiryMillis(entry))
        .forEach(entry -> removed.add(entry.record().suspect()));
    removed.forEach(this::remove);
    List<CrashSuspect> excess =
        entries.values().stream()
            .map(Entry::record)
            .sorted(Comparator.comparing(record -> quarantined.contains(record.suspect())))
            .limit(Math.max(0, entries.size() - settings.capacity()))
            .map(CrashRecord::suspect)
            .toList();
    excess.forEach(this::remove);
    removed.addAll(excess);
    removed.forEach(failedResponses::remove);
    return removed;
  }

  private long expiryMillis(Entry entry) {
    if (entry.record().openCrashes() == 0) {
      return entry.changedMillis() + CLEARED_RETENTION_MILLIS;
    }
    return entry.changedMillis() + retentionMillis(entry);
  }

  /** Many requests share a path or a part, so a wrong verdict about one must end sooner. */
  private long retentionMillis(Entry entry) {
    boolean atLimit = entry.independentCrashes() >= settings.crashLimit();
    return switch (entry.record().suspect()) {
      case RequestContent content ->
          atLimit ? settings.quarantineMillis() : settings.suspectMillis();
      case PathContent path -> Math.min(PATH_RETENTION_MILLIS, settings.suspectMillis());
      case PromptPartId part -> settings.suspectMillis();
    };
  }

  /** A record, when it was changed, and the number of its independent crashes. */
  private record Entry(CrashRecord record, long changedMillis, int independentCrashes) {

    Entry(CrashRecord record, long changedMillis) {
      this(record, changedMillis, record.independentCrashes());
    }
  }
}
