package org.hornbeamusher.quarantine;

/**
 * When an endpoint ended, as far as this is known: after it was last known to run and before its
 * end was noticed.
 *
 * <p>Both times are by the clock of the table service, which every process estimates, so that they
 * can be stored and compared between processes. If the estimates of two processes that noticed one
 * end differ, the merged interval is too long, and the end is taken for simultaneous with more
 * others.
 *
 * @param afterMillis when the endpoint was last known to run, in milliseconds
 * @param beforeMillis when its end was noticed, in milliseconds; 0 if this is not known
 */
public record EndInterval(long afterMillis, long beforeMillis) {

  /** The end of an endpoint whose time was not recorded. */
  public static final EndInterval UNKNOWN = new EndInterval(0, 0);

  /** Rejects negative times. */
  public EndInterval {
    if (afterMillis < 0 || beforeMillis < 0) {
      throw new IllegalArgumentException("negative time: " + afterMillis + " " + beforeMillis);
    }
  }

  /**
   * Returns whether the time is known.
   *
   * @return false for {@link #UNKNOWN}
   */
  public boolean isKnown() {
    return beforeMillis > 0;
  }

  /** Returns the interval in which the endpoint ended according to both. */
  EndInterval mergedWith(EndInterval other) {
    if (!isKnown()) {
      return other;
    }
    return other.isKnown()
        ? new EndInterval(
            Math.max(afterMillis, other.afterMillis), Math.min(beforeMillis, other.beforeMillis))
        : this;
  }

  /** Returns the earliest time; the bounds are reversed if they were read from different clocks. */
  long earliestMillis() {
    return Math.min(afterMillis, beforeMillis);
  }

  /** Returns the latest time. */
  long latestMillis() {
    return Math.max(afterMillis, beforeMillis);
  }
}
