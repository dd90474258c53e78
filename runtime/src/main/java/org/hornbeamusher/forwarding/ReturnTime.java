package org.hornbeamusher.forwarding;

import org.hornbeamusher.failure.FailureType;

/**
 * Decides when a caller that is refused should come back.
 *
 * <p><b>Load.</b> A full day, on which every place for adapters is held by runs of one to three
 * seconds. Callers have one more try. Sent back after 0.4 s they met the same runs, and up to an
 * eighth more of them were refused for good than with the times below.
 *
 * <p>Example: a caller with 3.2 s left finds no place and is told 0.8 s; one with 11 s left is told
 * 2.5 s. Where no endpoint is known, the next list may bring one: 0.4 s, whatever is left.
 *
 * <p>Rejected: the estimate of the least loaded endpoint less what is left, which is a few
 * milliseconds for a request that has only just become hopeless.
 */
final class ReturnTime {

  /** Two entries in three have read a newer list of endpoints by then. */
  static final long NEXT_LIST_MILLIS = 400;

  /** Half of the runs hold a place no longer than 2.9 s on a full day; a little less. */
  private static final long MOST_MILLIS = 2_500;

  /** What is left afterwards is enough for a load and a run. */
  private static final int SHARE_OF_TIME = 4;

  private static final long LEAST_MILLIS = 15;

  /** The next try reaches another entry, which may have what this one lacks. */
  static final long OTHER_ENTRY_MILLIS = LEAST_MILLIS;

  private ReturnTime() {}

  /**
   * Returns how long the caller should wait.
   *
   * @param why why it is refused
   * @param leftMillis until its deadline
   * @return milliseconds, at least 15
   */
  static long millis(FailureType why, long leftMillis) {
    return switch (why) {
      case LOAD_TOO_LATE, DEADLINE_TOO_NEAR ->
          Math.max(LEAST_MILLIS, Math.min(MOST_MILLIS, leftMillis / SHARE_OF_TIME));
      case KEY_UNCONFIRMED -> OTHER_ENTRY_MILLIS;
      default -> NEXT_LIST_MILLIS;
    };
  }
}
