package org.hornbeamusher.quarantine;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.EndpointId;

/**
 * Counts the endpoints that crashed while they ran a request and refuses it after the second. Not
 * safe for use by several threads at once.
 *
 * <p><b>Pattern.</b> One request crashes each endpoint that runs it, and its caller sends it again.
 * Without this class it takes the whole pool down, one endpoint after the other, and each restart
 * is a cold start for all adapters that were resident there.
 *
 * <p>A crash shows only which requests were running, not which one did it. All of them become
 * suspects. A suspect is not refused, for most of them are innocent, but from then on it runs at
 * most once at a time and apart from other suspects, so that the next crash has one suspect only.
 * The second crash of a suspect puts it into quarantine.
 *
 * <p><b>Several entries.</b> Crashes are rare, so what is known of them fits into the table: one
 * row for each fingerprint that was running at a crash, with the count and the token of the entry
 * that runs it now. The entry that loses an attempt to a crash, and the agent of the endpoint, tell
 * the others at once ({@link #mergeCrashCount}); that is fast but may be lost. What makes the bound
 * hold is the row: a suspect ({@link QuarantineDecision.AllowIsolated}) is dispatched only after a
 * compare-and-set of its row from "idle" to "running", and with the table down it is refused. Two
 * entries that both know of the first crash therefore cannot run it side by side, and an entry that
 * reads the row on the way to its claim learns of the second.
 *
 * <p>What the row cannot cover is copies that were already running on several endpoints before the
 * first crash. Rendezvous hashing sends copies of one request to one endpoint in the first place,
 * where they are lost together.
 *
 * <p>Rejected: a row that each request reads would cost as many reads a second as there are
 * requests, which is more than the table gives. Refusing after the first crash would refuse up to a
 * whole batch of innocent requests for each crash.
 */
public final class Quarantine {

  private static final long RETRY_AFTER_RUNNING_MILLIS = 2_000;

  private final QuarantineSettings settings;

  /** Fingerprints with at least one crash, the least recently crashed first. */
  private final LinkedHashMap<Long, Suspect> suspects = new LinkedHashMap<>();

  /** Attempts in flight from this entry for each fingerprint; absent when none. */
  private final Map<Long, Integer> running = new HashMap<>();

  /** Where suspects run that this entry has sent; each runs at most once. */
  private final Map<Long, EndpointId> suspectsAt = new HashMap<>();

  /**
   * Creates a quarantine that knows of no crash.
   *
   * @param settings limits
   */
  public Quarantine(QuarantineSettings settings) {
    this.settings = settings;
  }

  /**
   * Decides whether a request may run.
   *
   * @param fingerprint what it is
   * @param now milliseconds
   * @return whether, and under which conditions
   */
  public QuarantineDecision check(long fingerprint, long now) {
    Suspect suspect = current(fingerprint, now);
    if (suspect == null) {
      return new QuarantineDecision.Allow();
    }
    if (suspect.crashes() >= settings.crashLimit()) {
      return new QuarantineDecision.Refuse(FailureType.QUARANTINED, expiryMillis(suspect) - now);
    }
    if (running.containsKey(fingerprint)) {
      return new QuarantineDecision.Refuse(FailureType.SUSPECT_RUNNING, RETRY_AFTER_RUNNING_MILLIS);
    }
    return new QuarantineDecision.AllowIsolated();
  }

  /**
   * Records that an attempt was sent.
   *
   * @param fingerprint what it runs
   * @param now milliseconds
   */
  public void attemptStarted(long fingerprint, long now) {
    running.merge(fingerprint, 1, Integer::sum);
  }

  /**
   * Records that an attempt was sent, and where, so that suspects can be kept apart.
   *
   * @param fingerprint what it runs
   * @param endpoint where
   * @param now milliseconds
   */
  public void attemptStarted(long fingerprint, EndpointId endpoint, long now) {
    attemptStarted(fingerprint, now);
    if (current(fingerprint, now) != null) {
      suspectsAt.put(fingerprint, endpoint);
    }
  }

  /**
   * Returns where suspects run now. Another suspect must not be sent there: a crash of both would
   * put the innocent one into quarantine with the other.
   *
   * @return endpoints to exclude for a request that is allowed alone
   */
  public Set<EndpointId> endpointsRunningSuspects() {
    return Set.copyOf(suspectsAt.values());
  }

  /**
   * Records that the endpoint crashed during an attempt; it ends the attempt, too.
   *
   * @param fingerprint what it ran
   * @param now milliseconds
   * @return crashes known of this fingerprint
   */
  public int endpointCrashed(long fingerprint, long now) {
    attemptEnded(fingerprint, now);
    Suspect known = current(fingerprint, now);
    int crashes = known == null ? 1 : known.crashes() + 1;
    remember(fingerprint, crashes, now);
    return crashes;
  }

  /**
   * Records that an attempt ended without a crash.
   *
   * @param fingerprint what it ran
   * @param now milliseconds
   */
  public void attemptEnded(long fingerprint, long now) {
    running.computeIfPresent(fingerprint, (key, count) -> count > 1 ? count - 1 : null);
    suspectsAt.remove(fingerprint);
  }

  /**
   * Takes in what the table, an agent or another entry knows. Counts only rise.
   *
   * @param fingerprint what ran
   * @param crashes crashes known there
   * @param now milliseconds
   */
  public void mergeCrashCount(long fingerprint, int crashes, long now) {
    Suspect known = current(fingerprint, now);
    if (crashes > 0 && (known == null || known.crashes() < crashes)) {
      remember(fingerprint, crashes, now);
    }
  }

  private void remember(long fingerprint, int crashes, long now) {
    suspects.remove(fingerprint);
    suspects.put(fingerprint, new Suspect(crashes, now));
    Iterator<Long> oldestFirst = suspects.keySet().iterator();
    while (suspects.size() > settings.capacity() && oldestFirst.hasNext()) {
      oldestFirst.next();
      oldestFirst.remove();
    }
  }

  private Suspect current(long fingerprint, long now) {
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
