package org.hornbeamusher.ratelimit;

/** Whether a request may be sent to an endpoint that limits the rate of its requests. */
public sealed interface PermitDecision {

  /**
   * It may be sent.
   *
   * @param waitMillis after so long
   */
  record Granted(long waitMillis) implements PermitDecision {}

  /**
   * It may not be sent within the time that it can wait.
   *
   * @param waitMillis when the next permit is free
   */
  record Refused(long waitMillis) implements PermitDecision {}
}
