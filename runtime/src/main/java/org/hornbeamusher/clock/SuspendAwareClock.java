package org.hornbeamusher.clock;

/**
 * A monotonic clock that also counts the time for which the machine was suspended.
 *
 * <p>The steady clock stands still while a machine is suspended; the time of day goes on. So what
 * the time of day gains on the steady clock between two readings is added. A time of day that is
 * set forward is counted as well: this clock may run ahead, which makes what it measures look older
 * than it is, but a step back is never taken off. A suspension that a step back hides within one
 * interval between two readings is not seen, so it has to be read often.
 */
public final class SuspendAwareClock implements Clock {

  /** The machine's. */
  public static final SuspendAwareClock INSTANCE =
      new SuspendAwareClock(MonotonicClock.INSTANCE, SystemClock.INSTANCE);

  /** Readings of two clocks that follow each other differ by a little. */
  private static final long NOISE_MILLIS = 20;

  private final Clock steady;
  private final Clock timeOfDay;
  private long offsetMillis;
  private long suspendedMillis;

  /**
   * Creates a clock.
   *
   * @param steady stands still while the machine is suspended
   * @param timeOfDay goes on, and may be set
   */
  public SuspendAwareClock(Clock steady, Clock timeOfDay) {
    this.steady = steady;
    this.timeOfDay = timeOfDay;
    this.offsetMillis = timeOfDay.millis() - steady.millis();
  }

  @Override
  public synchronized long millis() {
    long now = steady.millis();
    long offset = timeOfDay.millis() - now;
    long gained = offset - offsetMillis;
    if (gained > NOISE_MILLIS) {
      suspendedMillis += gained;
      offsetMillis = offset;
    } else if (gained < -NOISE_MILLIS) {
      offsetMillis = offset;
    }
    return now + suspendedMillis;
  }
}
