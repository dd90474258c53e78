package org.hornbeamusher.holdings;

/**
 * Decides when an agent reports the workload of its engine to an entry.
 *
 * <p>A change that affects placement (a long prompt, several requests, the last free slot) is
 * reported at once. Smaller changes are reported together, at an interval that grows with the
 * number of entries, because each entry then sends fewer requests.
 *
 * <p><b>Load.</b> Each request changes the workload of its engine three or four times: it is
 * reserved, its prompt is processed, it ends. If each change were reported to every entry, a
 * request would cost messages in proportion to the number of entries, and hardly any would arrive
 * before a request whose placement it could change.
 *
 * <p>Example with 30 entries: a prompt of 9,000 tokens is reported at once, and again when it has
 * been processed. A short prompt is reported after 360 ms, with all other changes up to then.
 *
 * <p>Rejected: one long interval for all changes, which sends a burst of long prompts to the same
 * engine; querying the candidate engines when a request is placed, which adds a round trip to each
 * request.
 */
public final class WorkloadReportThrottle {

  /** With five entries, the interval is 60 ms, in which each sends at most about one request. */
  private static final long INTERVAL_MILLIS_PER_ENTRY = 12;

  private static final long MAX_INTERVAL_MILLIS = 1_000;

  /**
   * An engine processes this many tokens in 0.1 s, as much delay as a load or a farther engine
   * adds.
   */
  private static final long URGENT_TOKENS = 4_096;

  /** Each request adds a few milliseconds to the time to first event of the next one. */
  private static final int URGENT_REQUESTS = 4;

  private EngineWorkload reported;
  private long reportedMillis;

  /** Whether the load has changed since the last report. */
  private boolean changed;

  /** Creates a throttle that has not reported anything yet. */
  public WorkloadReportThrottle() {}

  /**
   * Decides whether a workload is reported now; if so, records it as reported.
   *
   * @param load the current workload from the other entries
   * @param entries how many entries there are
   * @param now milliseconds
   * @return whether to report it
   */
  public boolean tryReport(EngineWorkload load, int entries, long now) {
    changed = !load.equals(reported);
    if (!changed || !(affectsPlacement(load) || now >= dueMillis(entries))) {
      return false;
    }
    changed = false;
    reported = load;
    reportedMillis = now;
    return true;
  }

  /**
   * Returns the time by which an unreported change has to be reported.
   *
   * @param entries how many entries there are
   * @return milliseconds; {@link Long#MAX_VALUE} while nothing has changed
   */
  public long dueMillis(int entries) {
    return changed
        ? reportedMillis + Math.min(MAX_INTERVAL_MILLIS, entries * INTERVAL_MILLIS_PER_ENTRY)
        : Long.MAX_VALUE;
  }

  private boolean affectsPlacement(EngineWorkload load) {
    return reported == null
        || Math.abs(load.pendingPromptTokens() - reported.pendingPromptTokens()) >= URGENT_TOKENS
        || Math.abs(load.requests() - reported.requests()) >= URGENT_REQUESTS
        || (load.spareSlots() > 0) != (reported.spareSlots() > 0);
  }
}
