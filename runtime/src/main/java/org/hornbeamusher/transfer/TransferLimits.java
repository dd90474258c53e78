package org.hornbeamusher.transfer;

/**
 * How long an answer may keep its reader waiting.
 *
 * @param beginMillis until it begins, after the last part of the question was taken
 * @param stallMillis without progress, once it has begun
 */
public record TransferLimits(long beginMillis, long stallMillis) {

  private static final long MOST_BEGIN_FACTOR = 2;
  private static final int MOST_STALL_DOUBLINGS = 3;

  /**
   * Returns the limits of a repeat. What was cut by a limit is not cut by the same one again; how
   * long a connection may be silent grows little, because another one may work.
   *
   * @param failures how many attempts in a row have failed
   * @return these limits for the first attempt, longer ones for later attempts
   */
  public TransferLimits afterFailures(int failures) {
    return new TransferLimits(
        beginMillis * Math.min(1 + failures, MOST_BEGIN_FACTOR),
        stallMillis << Math.min(failures, MOST_STALL_DOUBLINGS));
  }

  /**
   * Returns the limits of a question that may be held until there is something to say.
   *
   * @param holdMillis for how long
   * @return these limits with a later beginning
   */
  public TransferLimits afterHold(long holdMillis) {
    return new TransferLimits(beginMillis + holdMillis, stallMillis);
  }
}
