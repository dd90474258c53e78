package org.hornbeamusher.forwarding;

import org.hornbeamusher.failure.FailureType;

/**
 * Determines the Retry-After time of a refused caller where it does not follow from a forecast: for
 * refusals that have nothing to do with capacity, and without the feature {@link
 * org.hornbeamusher.features.ServingFeature#FORECAST}.
 *
 * <p><b>Load.</b> Under full load every adapter slot is held by requests that run for one to three
 * seconds, and callers retry only once. With a Retry-After of 0.4 s they met the same running
 * requests, and up to an eighth more of them were refused permanently than with the times below.
 *
 * <p>Example: a caller with 3.2 s left that finds no slot is told to retry after 0.8 s; one with 11
 * s left, after 2.5 s. If no endpoint is known, the next list may contain one: 0.4 s, regardless of
 * the time left.
 *
 * <p>Rejected: the estimated delay at the least loaded endpoint minus the time left, which is only
 * a few milliseconds for a request that has just become too late.
 */
final class RetryAfterPolicy {

  /** The time within which two entries in three have read a newer list of endpoints. */
  static final long NEXT_LIST_MILLIS = 400;

  /** Slightly less than 2.9 s, within which half of the slots are released under full load. */
  private static final long MAX_MILLIS = 2_500;

  /** The caller waits for this fraction (1/4) of its time; the rest suffices to load and run. */
  private static final int WAIT_DIVISOR = 4;

  private static final long MIN_MILLIS = 15;

  /** The retry reaches another entry, which may know what this one lacks. */
  static final long OTHER_ENTRY_MILLIS = MIN_MILLIS;

  private RetryAfterPolicy() {}

  /**
   * Returns how long the caller should wait before it retries.
   *
   * @param reason the reason of the refusal
   * @param remainingMillis time until its deadline
   * @return milliseconds, at least 15
   */
  static long millis(FailureType reason, long remainingMillis) {
    return switch (reason) {
      case LOAD_TOO_LATE, DEADLINE_TOO_NEAR ->
          Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, remainingMillis / WAIT_DIVISOR));
      case KEY_UNCONFIRMED -> OTHER_ENTRY_MILLIS;
      default -> NEXT_LIST_MILLIS;
    };
  }
}
