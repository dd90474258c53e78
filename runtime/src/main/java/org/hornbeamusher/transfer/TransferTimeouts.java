package org.hornbeamusher.transfer;

/**
 * The timeouts of a response.
 *
 * @param startTimeoutMillis time until it starts, after the last part of the request was sent
 * @param stallTimeoutMillis time without progress, once it has started
 */
public record TransferTimeouts(long startTimeoutMillis, long stallTimeoutMillis) {

  private static final long MAX_START_FACTOR = 2;
  private static final int MAX_STALL_DOUBLINGS = 3;

  /**
   * Returns the timeouts of a retry, so that a timeout that was too short is not applied again. The
   * time until the start of the response grows by a factor of two at most, because a silent
   * connection should be given up soon: another one may work.
   *
   * @param failures number of failed attempts in a row
   * @return these timeouts for the first attempt, longer ones for later attempts
   */
  public TransferTimeouts afterFailures(int failures) {
    return new TransferTimeouts(
        startTimeoutMillis * Math.min(1 + failures, MAX_START_FACTOR),
        stallTimeoutMillis << Math.min(failures, MAX_STALL_DOUBLINGS));
  }

  /**
   * Returns the timeouts of a long poll.
   *
   * @param holdMillis how long the server may hold the request
   * @return these timeouts with a later start of the response
   */
  public TransferTimeouts afterHold(long holdMillis) {
    return new TransferTimeouts(startTimeoutMillis + holdMillis, stallTimeoutMillis);
  }
}
