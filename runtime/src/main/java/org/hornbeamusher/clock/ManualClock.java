package org.hornbeamusher.clock;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A clock that changes only when it is advanced or set; used by tests and by the policy benchmark.
 */
public final class ManualClock implements Clock {

  private final AtomicLong now;

  /**
   * Creates a clock.
   *
   * @param startMillis the initial time
   */
  public ManualClock(long startMillis) {
    this.now = new AtomicLong(startMillis);
  }

  @Override
  public long millis() {
    return now.get();
  }

  /**
   * Moves the clock forward.
   *
   * @param millis the increment
   * @return the new time
   */
  public long advance(long millis) {
    return now.addAndGet(millis);
  }

  /**
   * Sets the clock, forward or back.
   *
   * @param millis the new time
   */
  public void set(long millis) {
    now.set(millis);
  }
}
