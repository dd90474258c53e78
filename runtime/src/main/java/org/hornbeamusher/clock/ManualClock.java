package org.hornbeamusher.clock;

import java.util.concurrent.atomic.AtomicLong;

/** A clock that stands still until it is advanced; used by tests and by the policy benchmark. */
public final class ManualClock implements Clock {

  private final AtomicLong now;

  /**
   * Creates a clock.
   *
   * @param startMillis the time it shows first
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
   * @param millis how far
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
