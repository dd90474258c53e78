package org.hornbeamusher.holdings;

/**
 * Decides when an agent reports to an entry what the other entries have at its engine.
 *
 * <p><b>Load.</b> Each request changes the load of its engine three or four times: it is reserved,
 * its prompt is read, it ends. Reported to every entry each time, a request costs messages in
 * proportion to the number of entries, and hardly any of them arrives before a request that it
 * could move, because an entry of many sends few requests.
 *
 * <p>A change that moves requests is therefore reported at once: a long prompt, several requests,
 * the last free slot. Anything less is reported at a pace that slows with the number of entries, as
 * the requests of each do.
 *
 * <p>Example with 30 entries: a prompt of 9,000 tokens is reported at once, and again when it has
 * been read. A short question is reported with whatever else has changed after 360 ms.
 *
 * <p>Rejected: one slow pace for all changes (a burst of long prompts meets at one engine); asking
 * the engines in question when a request is placed (a round trip before each).
 */
public final class LoadReportThrottle {

  /** Of five entries each sends one request or none within 60 ms. */
  private static final long MILLIS_PER_ENTRY = 12;

  private static final long MOST_MILLIS = 1_000;

  /**
   * An engine reads so much in a tenth of a second: as much as a load or a farther engine costs.
   */
  private static final long MANY_TOKENS = 4_096;

  /** Each adds a few milliseconds to the next one's first event. */
  private static final int MANY_REQUESTS = 4;

  private EngineLoad reported;
  private long reportedMillis;

  /** Whether the load has changed since the last report. */
  private boolean changed;

  /** Creates a throttle that has let nothing pass. */
  public LoadReportThrottle() {}

  /**
   * Decides whether a load is reported now; if so, it counts as reported.
   *
   * @param load what the others have now
   * @param entries how many entries there are
   * @param now milliseconds
   * @return whether to report it
   */
  public boolean pass(EngineLoad load, int entries, long now) {
    changed = !load.equals(reported);
    if (!changed || !(movesRequests(load) || now >= dueMillis(entries))) {
      return false;
    }
    changed = false;
    reported = load;
    reportedMillis = now;
    return true;
  }

  /**
   * Returns when what has changed is reported at the latest.
   *
   * @param entries how many entries there are
   * @return milliseconds; {@link Long#MAX_VALUE} while nothing has changed
   */
  public long dueMillis(int entries) {
    return changed
        ? reportedMillis + Math.min(MOST_MILLIS, entries * MILLIS_PER_ENTRY)
        : Long.MAX_VALUE;
  }

  private boolean movesRequests(EngineLoad load) {
    return reported == null
        || Math.abs(load.unreadTokens() - reported.unreadTokens()) >= MANY_TOKENS
        || Math.abs(load.requests() - reported.requests()) >= MANY_REQUESTS
        || (load.sparePlaces() > 0) != (reported.sparePlaces() > 0);
  }
}
