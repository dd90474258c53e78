package org.hornbeamusher.quarantine;

/**
 * When an endpoint ended, as far as this is known: after it was last known to run and before its
 * end was noticed.
 *
 * <p>Both times are by the clock of the table service, which every process estimates, so that they
 * can be stored and compared between processes. Times by one estimate compare exactly; those by
 * different estimates do so up to the error of the estimates. If the estimates of two processes
 * that noticed one end differ, the merged interval is too long, and the end is taken for
 * simultaneous with more others.
 *
 * @param afterMillis when the endpoint was last known to run, in milliseconds
 * @param beforeMillis when its end was noticed, in milliseconds; 0 if this is not known
 * @param estimate identifies the estimate of the clock by which both times were taken; {@link
 *     #UNKNOWN_ESTIMATE} if it is not known or there were several
 */
public record EndInterval(long afterMillis, long beforeMillis, int estimate) {

  /** An estimate of the clock that is not known to be the same as any other. */
  public static final int UNKNOWN_ESTIMATE = 0;

  /** The end of an endpoint whose time was not recorded. */
  public static final EndInterval UNKNOWN = new EndInterval(0, 0, UNKNOWN_ESTIMATE);

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
            Math.max(afterMillis, other.afterMillis),
            Math.min(beforeMillis, other.beforeMillis),
            estimate == other.estimate ? estimate : UNKNOWN_ESTIMATE)
        : this;
  }

  /** Returns whether the times of both were taken by the same estimate of the clock. */
  boolean isComparableExactlyWith(EndInterval other) {
    return estimate == other.estimate && estimate != UNKNOWN_ESTIMATE;
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
