package org.hornbeamusher.clock;

/**
 * Tells the time in milliseconds.
 *
 * <p>Every decision takes its time from here, so that a test can turn it by hand. The value is
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
