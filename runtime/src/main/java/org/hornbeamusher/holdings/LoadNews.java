package org.hornbeamusher.holdings;

/**
 * Decides when an entry is told again what the others have at an engine.
 *
 * <p><b>Load.</b> Each request changes the load of its engine three or four times: it is reserved,
 * its prompt is read, it ends. Told to every entry each time, a request costs messages in
 * proportion to the number of entries, and hardly any of them comes before a request that it could
 * move, because an entry of many sends few requests.
 *
 * <p>So a change that moves requests is told at once: a long prompt, several requests, the last
 * free place. Anything less is told at a pace that slows with the number of entries, as the
 * requests of each do.
 *
 * <p>Example with 30 entries: a prompt of 9,000 tokens is told at once, and again when it has been
 * read. A short question is told with whatever else has changed after 360 ms.
 *
 * <p>Rejected: one slow pace for all changes (a burst of long prompts meets at one engine); asking
 * the engines in question when a request is placed (a round trip before each).
 */
public final class LoadNews {

  /** Of five entries each sends one request or none within 60 ms. */
  private static final long MILLIS_PER_ENTRY = 12;

  /** What is wrong by little must still not be wrong for long. */
  private static final long MOST_MILLIS = 1_000;

  /**
   * An engine reads so much in a tenth of a second: as much as a load or a farther engine costs.
   */
  private static final long MANY_TOKENS = 4_096;

  /** Each adds a few milliseconds to the next one's first event. */
  private static final int MANY_REQUESTS = 4;

  private EngineLoad told;
  private long toldMillis;

  /** Whether the load has changed since it was told. */
  private boolean changed;

  /** Creates news of which nothing was told yet. */
  public LoadNews() {}

  /**
   * Decides whether a load is told now; it counts as told if so.
   *
   * @param load what the others have now
   * @param entries how many entries there are
   * @param now milliseconds
   * @return whether to tell it
   */
  public boolean tell(EngineLoad load, int entries, long now) {
    changed = !load.equals(told);
    if (!changed || !(moves(load) || now >= dueMillis(entries))) {
      return false;
    }
    changed = false;
    told = load;
    toldMillis = now;
    return true;
  }

  /**
   * Returns when what has changed is told at the latest.
   *
   * @param entries how many entries there are
   * @return milliseconds; {@link Long#MAX_VALUE} while there is nothing to tell
   */
  public long dueMillis(int entries) {
    return changed
        ? toldMillis + Math.min(MOST_MILLIS, entries * MILLIS_PER_ENTRY)
        : Long.MAX_VALUE;
  }

  /** Whether requests would go elsewhere. */
  private boolean moves(EngineLoad load) {
    return told == null
        || Math.abs(load.unreadTokens() - told.unreadTokens()) >= MANY_TOKENS
        || Math.abs(load.requests() - told.requests()) >= MANY_REQUESTS
        || (load.sparePlaces() > 0) != (told.sparePlaces() > 0);
  }
}
