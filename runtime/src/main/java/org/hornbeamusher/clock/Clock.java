package org.hornbeamusher.clock;

/**
 * Returns the current time in milliseconds.
 *
 * <p>Every decision reads the time from here, so that a test can control it. The value is
 * wall-clock time since the epoch, because deadlines and idempotency keys are compared between
 * processes; no decision may rely on it never stepping back.
 */
@FunctionalInterface
public interface Clock {

  /**
   * Returns the current time.
   *
   * @return milliseconds since the epoch
   */
  long millis();
}
