package org.hornbeamusher.ratelimit;

/** Whether a request may be sent to a rate-limited endpoint. */
public sealed interface RatePermitDecision {

  /**
   * It may be sent, possibly after a wait.
   *
   * @param waitMillis length of the wait; 0 for none
   */
  record Granted(long waitMillis) implements RatePermitDecision {}

  /**
   * It may not be sent within the time that it can wait.
   *
   * @param waitMillis time until the next permit is available
   */
  record Refused(long waitMillis) implements RatePermitDecision {}
}
