package org.hornbeamusher.scheduling;

/**
 * Estimates how long a request runs, corrected by measured run times.
 *
 * <p>The settings state a generation rate, but an engine slows down as its batch fills, and
 * responses may end before their token limit. A wrong estimate refuses requests that would have
 * finished in time, or runs requests that will not. The correction factor is the moving mean of
 * actual divided by expected run time, over about {@value #MEAN_WINDOW_REQUESTS} requests and
 * within fixed limits, so that a few failures (which end at once) cannot make the estimate far too
 * short.
 */
final class RunTimeEstimate {

  private static final double MEAN_WINDOW_REQUESTS = 32;
  private static final double MIN_FACTOR = 0.2;
  private static final double MAX_FACTOR = 5;

  /** A request is long if it costs more than this many times the geometric mean cost. */
  private static final double LONG_RATIO = 3;

  private final double tokensPerMilli;
  private double factor = 1;
  private double meanLogCost = Double.NaN;

  RunTimeEstimate(SchedulerSettings settings) {
    this.tokensPerMilli = Math.max(0.001, settings.tokensPerSecond() / 1_000);
  }

  /** Returns the expected run time in milliseconds. */
  double runMillis(double costTokens) {
    return costTokens / tokensPerMilli * factor;
  }

  /** Updates the correction factor from a request that ended without being cancelled. */
  void requestEnded(double costTokens, long elapsedMillis) {
    double expected = costTokens / tokensPerMilli;
    if (expected <= 0) {
      return;
    }
    double ratio = clamp(Math.max(0, elapsedMillis) / expected);
    factor += (ratio - factor) / MEAN_WINDOW_REQUESTS;
  }

  /** Updates the mean cost from a request that arrived. */
  void requestArrived(double costTokens) {
    double logCost = Math.log(Math.max(1, costTokens));
    if (Double.isNaN(meanLogCost)) {
      meanLogCost = logCost;
    }
    meanLogCost += (logCost - meanLogCost) / MEAN_WINDOW_REQUESTS;
  }

  /**
   * Returns whether a request is much longer than usual. The geometric mean makes this relative: if
   * half of the requests are long, that length is usual and none is held back for it.
   */
  boolean isLong(double costTokens) {
    return Math.log(Math.max(1, costTokens)) > meanLogCost + Math.log(LONG_RATIO);
  }

  private static double clamp(double ratio) {
    return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, ratio));
  }
}
