package org.hornbeamusher.scheduling;

/**
 * Expects how long a request runs, and corrects itself by how long requests ran.
 *
 * <p>The settings name a generation rate, but an engine slows down as its batch fills and answers
 * end before the tokens they may have. A wrong expectation refuses work that would have been in
 * time, or runs work that will not be. The correction is the moving mean of actual over expected
 * time, over about {@value #MEMORY} requests and within fixed bounds, so that a handful of failures
 * (which end at once) cannot make the agent promise what it cannot hold.
 */
final class WorkEstimate {

  private static final double MEMORY = 32;
  private static final double LEAST_FACTOR = 0.2;
  private static final double GREATEST_FACTOR = 5;

  /** A request is long when it costs this many times the usual (geometric mean) cost. */
  private static final double LONG_RATIO = 3;

  private final double tokensPerMilli;
  private double factor = 1;
  private double meanLogCost = Double.NaN;

  WorkEstimate(SchedulerSettings settings) {
    this.tokensPerMilli = Math.max(0.001, settings.tokensPerSecond() / 1_000);
  }

  /** Returns the expected run time in milliseconds. */
  double runMillis(double costTokens) {
    return costTokens / tokensPerMilli * factor;
  }

  /** Learns from a request that ended by itself. */
  void ended(double costTokens, long elapsedMillis) {
    double expected = costTokens / tokensPerMilli;
    if (expected <= 0) {
      return;
    }
    double ratio = clamp(Math.max(0, elapsedMillis) / expected);
    factor += (ratio - factor) / MEMORY;
  }

  /** Learns what cost is usual. */
  void arrived(double costTokens) {
    double logCost = Math.log(Math.max(1, costTokens));
    if (Double.isNaN(meanLogCost)) {
      meanLogCost = logCost;
    }
    meanLogCost += (logCost - meanLogCost) / MEMORY;
  }

  /**
   * Tells whether a request is much longer than usual. The geometric mean makes this relative: when
   * half of the requests are long, being long is usual and nobody is held back for it.
   */
  boolean isLong(double costTokens) {
    return Math.log(Math.max(1, costTokens)) > meanLogCost + Math.log(LONG_RATIO);
  }

  private static double clamp(double ratio) {
    return Math.min(GREATEST_FACTOR, Math.max(LEAST_FACTOR, ratio));
  }
}
