package org.hornbeamusher.pacing;

import java.util.SplittableRandom;

/**
 * Limits one agent's loads without coordination, to a static share of the weight store's rate.
 *
 * <p>Used while the permit holder is unreachable. Each of n agents starts a load at most every n
 * load intervals on average, so that together they stay within the store's rate even if all want
 * loads. The first load is scheduled at random within the first n intervals, and each further one
 * between half and one and a half times n intervals later, so that agents which lost the holder at
 * the same time do not keep loading at the same time.
 *
 * <p>It wastes the rate that the other agents do not use: with 12 agents of which one wants loads,
 * that one gets a twelfth of the store's rate. It is therefore only the fallback.
 */
public final class LocalPacer {

  private static final long NOT_STARTED = Long.MIN_VALUE;

  private final long intervalMillis;
  private final SplittableRandom random;
  private long nextMillis = NOT_STARTED;

  /**
   * Creates a pacer.
   *
   * @param intervalMillis minimum interval between two loads from the store by all agents together
   * @param seed random seed, which must differ between agents
   */
  public LocalPacer(long intervalMillis, long seed) {
    this.intervalMillis = intervalMillis;
    this.random = new SplittableRandom(seed);
  }

  /**
   * Decides whether a load may start now; if so, the load counts as started.
   *
   * @param agents number of agents that load from the store, as far as known
   * @param now milliseconds
   * @return whether to load now, or when to try again
   */
  public PaceDecision tryAcquire(int agents, long now) {
    long roundMillis = Math.max(1, agents) * intervalMillis;
    if (nextMillis == NOT_STARTED) {
      nextMillis = now + random.nextLong(roundMillis);
    }
    // The clock stepped back, or there are far fewer agents than when the next load was scheduled.
    nextMillis = Math.min(nextMillis, now + roundMillis + roundMillis / 2);
    if (now < nextMillis) {
      return new PaceDecision.Wait(nextMillis);
    }
    nextMillis = now + roundMillis / 2 + random.nextLong(roundMillis + 1);
    return new PaceDecision.Proceed();
  }

  /** Forgets the scheduled load, because the holder is reachable again. */
  public void reset() {
    nextMillis = NOT_STARTED;
  }
}
