package org.hornbeamusher.recovery;

/**
 * The number of loads that the weight store serves at full speed, learnt from the duration of
 * loads.
 *
 * <p>After as many loads as the limit, their mean duration is compared with that of an uncongested
 * load. If it is much longer, the limit is reduced; otherwise it grows by one, but only if the
 * limit was reached, because a store that is not loaded shows nothing.
 *
 * <p>The uncongested duration is learnt from loads while few others are in progress. Learnt from
 * all loads, it would grow along with the limit, without bound. If a reduced limit does not make
 * loads faster, the store is slower and not congested, and their duration becomes the uncongested
 * one.
 */
final class StoreConcurrencyLimit {

  /** The lowest number that a data sheet of a weight store states. */
  static final int INITIAL = 24;

  private static final int MIN = 8;
  private static final int MAX = 1_024;

  /** Reports of the end of a load are up to a fifth of a load late. */
  private static final double CONGESTION_RATIO = 1.25;

  /** Fraction (1/8) by which the limit is reduced. */
  private static final int DECREASE_DIVISOR = 8;

  /** After a reduction of the limit, loads of a congested store are faster than this ratio. */
  private static final double UNCHANGED_RATIO = 0.95;

  /** Uncongested duration before the first load, by the engines' data sheets. */
  private static final double INITIAL_LOAD_MILLIS = 290;

  /** Maximum growth factor of the uncongested duration per load. */
  private static final double MAX_BASELINE_GROWTH = 1.01;

  /** Minimum factor by which one load lowers the uncongested duration. */
  private static final double MIN_BASELINE_RATIO = 0.98;

  /** Longer loads indicate a lost order rather than a slow store. */
  private static final long MAX_LOAD_MILLIS = 3_000;

  private int limit = INITIAL;
  private double uncongestedMillis = INITIAL_LOAD_MILLIS;
  private double sumMillis;
  private int loads;
  private boolean limitReached;

  /** Mean duration before the limit was reduced; 0 if it was not reduced last. */
  private double meanBeforeReduction;

  /** Takes the limit that the previous coordinator has learnt. */
  void adopt(int learnt) {
    limit = Math.clamp(learnt, MIN, MAX);
  }

  /**
   * Records the duration of a load.
   *
   * @param tookMillis its duration
   * @param inProgress the loads in progress over all engines
   */
  void loadCompleted(long tookMillis, int inProgress) {
    long took = Math.min(MAX_LOAD_MILLIS, tookMillis);
    if (took < uncongestedMillis) {
      uncongestedMillis = Math.max(uncongestedMillis * MIN_BASELINE_RATIO, took);
    } else if (inProgress <= limit / 2) {
      uncongestedMillis = Math.min(uncongestedMillis * MAX_BASELINE_GROWTH, took);
    }
    sumMillis += took;
    loads++;
    limitReached |= inProgress >= limit - 1;
    if (loads >= limit) {
      adjust(sumMillis / loads);
      sumMillis = 0;
      loads = 0;
      limitReached = false;
    }
  }

  private void adjust(double meanMillis) {
    if (meanBeforeReduction > 0 && meanMillis >= UNCHANGED_RATIO * meanBeforeReduction) {
      uncongestedMillis = meanMillis;
    }
    meanBeforeReduction = 0;
    if (meanMillis > CONGESTION_RATIO * uncongestedMillis) {
      limit = Math.max(MIN, limit - limit / DECREASE_DIVISOR);
      meanBeforeReduction = meanMillis;
    } else if (limitReached) {
      limit = Math.min(MAX, limit + 1);
    }
  }

  /** Returns how many loads may be in progress over all engines. */
  int value() {
    return limit;
  }

  /** Returns the duration of an uncongested load. */
  double uncongestedMillis() {
    return uncongestedMillis;
  }
}
