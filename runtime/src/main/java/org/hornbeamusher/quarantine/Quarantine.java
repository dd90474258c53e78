package org.hornbeamusher.quarantine;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.EndpointId;

/**
 * Counts, for each request fingerprint, the endpoints that crashed while running it, and refuses
 * the request after the second crash. Not thread-safe.
 *
 * <p><b>Problem.</b> A request crashes every endpoint that runs it, and its caller keeps retrying.
 * Without this class it would take down the whole pool, one endpoint after another, and each
 * restart is a cold start for all adapters that were resident there.
 *
 * <p><b>Algorithm.</b> A crash shows only which requests were running, not which of them caused it.
 * All of them become suspects. Suspects are not refused, because most of them did not cause the
 * crash, but from then on a suspect runs at most once at a time and not on the same endpoint as
 * another suspect, so that the next crash has a single suspect. A suspect is quarantined after its
 * second crash.
 *
 * <p><b>Several entries.</b> Crashes are rare enough to be recorded in the table: one row for each
 * fingerprint that was running at a crash, with the crash count and the time until which one entry
 * may run it. The entry that loses an attempt to a crash, and the agent of the endpoint, notify the
 * other entries at once ({@link #mergeCrashCount}); this is fast, but a notification may be lost.
 * The limit is enforced by the row: a suspect ({@link QuarantineDecision.AllowIsolated}) is
 * dispatched only after a compare-and-set of its row from idle to running, and it is refused while
 * the table is down. So two entries that both know of the first crash cannot run the suspect
 * concurrently, and an entry that missed the second crash finds it in the row.
 *
 * <p>The row does not cover copies that were already running on several endpoints before the first
 * crash. Rendezvous hashing normally sends copies of a request to the same endpoint, where they are
 * lost together.
 *
 * <p>Rejected: reading a row for every request, which would need as many reads per second as there
 * are requests, more than the table provides; and refusing after the first crash, which would
 * refuse up to a whole batch of harmless requests for each crash.
 */
public final class Quarantine {

  private static final long RETRY_AFTER_RUNNING_MILLIS = 2_000;

  private final QuarantineSettings settings;

  /** Fingerprints with at least one crash, ordered by last crash, the oldest first. */
  private final LinkedHashMap<Long, Suspect> suspects = new LinkedHashMap<>();

  /** Number of attempts of this entry in flight per fingerprint; absent when there are none. */
  private final Map<Long, Integer> inFlight = new HashMap<>();

  /** Endpoint of each suspect that this entry has in flight; each has at most one attempt. */
  private final Map<Long, EndpointId> suspectEndpoints = new HashMap<>();

  /**
   * Creates a quarantine without recorded crashes.
   *
   * @param settings limits
   */
  public Quarantine(QuarantineSettings settings) {
    this.settings = settings;
  }

  /**
   * Decides whether a request may run.
   *
   * @param fingerprint the request's fingerprint
   * @param now current time in milliseconds
   * @return whether the request may run, and under which conditions
   */
  public QuarantineDecision check(long fingerprint, long now) {
    Suspect suspect = currentSuspect(fingerprint, now);
    if (suspect == null) {
      return new QuarantineDecision.Allow();
    }
    if (suspect.crashes() >= settings.crashLimit()) {
      return new QuarantineDecision.Refuse(FailureType.QUARANTINED, expiryMillis(suspect) - now);
    }
    if (inFlight.containsKey(fingerprint)) {
      return new QuarantineDecision.Refuse(FailureType.SUSPECT_RUNNING, RETRY_AFTER_RUNNING_MILLIS);
    }
    return new QuarantineDecision.AllowIsolated();
  }

  /**
   * Records that an attempt was dispatched.
   *
   * @param fingerprint the request's fingerprint
   * @param now current time in milliseconds
   */
  public void attemptStarted(long fingerprint, long now) {
    inFlight.merge(fingerprint, 1, Integer::sum);
  }

  /**
   * Records that an attempt was dispatched to an endpoint, so that suspects can be kept on
   * different endpoints.
   *
   * @param fingerprint the request's fingerprint
   * @param endpoint the endpoint
   * @param now current time in milliseconds
   */
  public void attemptStarted(long fingerprint, EndpointId endpoint, long now) {
    attemptStarted(fingerprint, now);
    if (currentSuspect(fingerprint, now) != null) {
      suspectEndpoints.put(fingerprint, endpoint);
    }
  }

  /**
   * Returns the endpoints that currently run a suspect from this entry. No other suspect may be
   * sent there: a crash would count for both and could quarantine the one that did not cause it.
   *
   * @return endpoints to exclude for a request that gets {@link QuarantineDecision.AllowIsolated}
   */
  public Set<EndpointId> endpointsRunningSuspects() {
    return Set.copyOf(suspectEndpoints.values());
  }

  /**
   * Records that the endpoint crashed during an attempt, which also ends the attempt.
   *
   * @param fingerprint the request's fingerprint
   * @param now current time in milliseconds
   * @return the number of known crashes of this fingerprint
   */
  public int endpointCrashed(long fingerprint, long now) {
    attemptEnded(fingerprint, now);
    Suspect suspect = currentSuspect(fingerprint, now);
    int crashes = suspect == null ? 1 : suspect.crashes() + 1;
    recordSuspect(fingerprint, crashes, now);
    return crashes;
  }

  /**
   * Records that an attempt ended without a crash.
   *
   * @param fingerprint the request's fingerprint
   * @param now current time in milliseconds
   */
  public void attemptEnded(long fingerprint, long now) {
    inFlight.computeIfPresent(fingerprint, (key, count) -> count > 1 ? count - 1 : null);
    suspectEndpoints.remove(fingerprint);
  }

  /**
   * Merges the crash count that the table, an agent or another entry reports. The known count never
   * decreases.
   *
   * @param fingerprint the request's fingerprint
   * @param crashes the reported number of crashes
   * @param now current time in milliseconds
   */
  public void mergeCrashCount(long fingerprint, int crashes, long now) {
    Suspect suspect = currentSuspect(fingerprint, now);
    if (crashes > 0 && (suspect == null || suspect.crashes() < crashes)) {
      recordSuspect(fingerprint, crashes, now);
    }
  }

  private void recordSuspect(long fingerprint, int crashes, long now) {
    suspects.remove(fingerprint);
    suspects.put(fingerprint, new Suspect(crashes, now));
    Iterator<Long> oldestFirst = suspects.keySet().iterator();
    while (suspects.size() > settings.capacity() && oldestFirst.hasNext()) {
      oldestFirst.next();
      oldestFirst.remove();
    }
  }

  private Suspect currentSuspect(long fingerprint, long now) {
    Suspect suspect = suspects.get(fingerprint);
    if (suspect != null && now >= expiryMillis(suspect)) {
      suspects.remove(fingerprint);
      return null;
    }
    return suspect;
  }

  private long expiryMillis(Suspect suspect) {
    boolean quarantined = suspect.crashes() >= settings.crashLimit();
    return suspect.lastCrashMillis()
        + (quarantined ? settings.quarantineMillis() : settings.suspectMillis());
  }

  private record Suspect(int crashes, long lastCrashMillis) {}
}
