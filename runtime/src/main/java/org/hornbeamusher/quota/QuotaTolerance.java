package org.hornbeamusher.quota;

import org.hornbeamusher.accounts.Quota;

/**
 * The tolerance with which operators check a quota: in any window, an account may get what its rate
 * and burst allow, plus a fraction of that, plus a fixed number of units.
 *
 * <p>Usage within this tolerance need not be refused. A part of the tolerance is used for requests
 * while the usage of every entry is known, and half of the rest for further runs of requests that
 * were admitted before, so that these are refused last. What then remains covers what entries admit
 * before they know of each other's usage.
 *
 * @param windowMillis the length of a window
 * @param overshoot fraction of rate and burst that is tolerated in addition to them
 * @param slack units that are tolerated in addition
 * @param usableFraction the fraction of overshoot and slack that requests may use
 */
public record QuotaTolerance(
    long windowMillis, double overshoot, long slack, double usableFraction) {

  /** Windows of ten seconds, without tolerance beyond rate and burst. */
  public static final QuotaTolerance NONE = new QuotaTolerance(10_000, 0, 0, 0);

  /** Default fraction of the tolerance that requests may use. */
  public static final double DEFAULT_USED_SHARE = 0.5;

  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * Returns what an account may get in a window by its rate and burst alone.
   *
   * @param quota a quota with a limit
   * @return units
   */
  public double withoutTolerance(Quota quota) {
    return quota.ratePerSecond() * windowMillis / MILLIS_PER_SECOND + quota.burst();
  }

  /**
   * Returns what an account may get in a window while the usage of every entry is known.
   *
   * @param quota a quota with a limit
   * @return units, at least {@link #withoutTolerance}
   */
  public double allowed(Quota quota) {
    return withoutTolerance(quota) + usableFraction * tolerated(quota);
  }

  /**
   * Returns what an account may get in a window, with further runs of its requests, while the usage
   * of every entry is known.
   *
   * @param quota a quota with a limit
   * @return units, at least {@link #allowed}
   */
  public double allowedWithFurtherRuns(Quota quota) {
    return allowed(quota) + (1 - usableFraction) / 2 * tolerated(quota);
  }

  private double tolerated(Quota quota) {
    return withoutTolerance(quota) * overshoot + slack;
  }
}
