package org.hornbeamusher.quota;

import org.hornbeamusher.accounts.Quota;

/**
 * How the operators judge a quota: in any window, an account may get what its rate and burst allow,
 * a share on top, and a fixed number of units.
 *
 * <p>What lies within that need not be refused. Part of it is used for requests while every entry's
 * usage is known; the rest covers what entries admit before they know of each other.
 *
 * @param windowMillis the length of a window
 * @param overshoot a share of rate and burst on top
 * @param slack units on top
 * @param usedShare the part of overshoot and slack that requests may use
 */
public record QuotaTolerance(long windowMillis, double overshoot, long slack, double usedShare) {

  /** Windows of ten seconds, and nothing on top of rate and burst. */
  public static final QuotaTolerance NONE = new QuotaTolerance(10_000, 0, 0, 0);

  /** The part of the tolerance that requests may use, unless set otherwise. */
  public static final double DEFAULT_USED_SHARE = 0.5;

  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * Returns what an account may get in a window by its rate and burst alone.
   *
   * @param quota a limited one
   * @return units
   */
  public double strict(Quota quota) {
    return quota.ratePerSecond() * windowMillis / MILLIS_PER_SECOND + quota.burst();
  }

  /**
   * Returns what an account may get in a window while the usage of every entry is known.
   *
   * @param quota a limited one
   * @return units, at least {@link #strict}
   */
  public double allowed(Quota quota) {
    return strict(quota) + usedShare * (strict(quota) * overshoot + slack);
  }
}
