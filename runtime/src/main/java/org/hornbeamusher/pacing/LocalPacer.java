package org.hornbeamusher.pacing;

import java.util.SplittableRandom;

/**
 * Paces one agent's loads without anybody's help: a static share of the store's rate.
 *
 * <p>Used while the permit holder is out of reach. Each of n agents begins a load at most every n
 * gaps on average, so that together they stay within the store's rate even when all want loads. The
 * first turn falls anywhere within the first n gaps and every further one is drawn between half and
 * one and a half times n gaps, so that agents which lost the holder in the same moment do not load
 * in the same moment ever after.
 *
 * <p>It wastes what the others do not use: with 12 agents and one that wants loads, that one gets a
 * twelfth of the store. It is therefore the fallback and not the rule.
 */
public final class LocalPacer {

  private static final long NOT_STARTED = Long.MIN_VALUE;

  private final long gapMillis;
  private final SplittableRandom random;
  private long nextMillis = NOT_STARTED;

  /**
   * Creates a pacer.
   *
   * @param gapMillis least time between two loads of the whole store
   * @param seed differs between agents
   */
  public LocalPacer(long gapMillis, long seed) {
    this.gapMillis = gapMillis;
    this.random = new SplittableRandom(seed);
  }

  /**
   * Decides whether a load may begin; a turn that is given counts as used.
   *
   * @param agents how many agents load from the store, as far as known
   * @param now milliseconds
   * @return whether to load now
   */
  public PaceDecision turn(int agents, long now) {
    long round = Math.max(1, agents) * gapMillis;
    if (nextMillis == NOT_STARTED) {
      nextMillis = now + random.nextLong(round);
    }
    // The clock stepped back, or there are far fewer agents than when the turn was drawn.
    nextMillis = Math.min(nextMillis, now + round + round / 2);
    if (now < nextMillis) {
      return new PaceDecision.Wait(nextMillis);
    }
    nextMillis = now + round / 2 + random.nextLong(round + 1);
    return new PaceDecision.Go();
  }

  /** Forgets the drawn turn: the holder is reached again. */
  public void rest() {
    nextMillis = NOT_STARTED;
  }
}
