package org.hornbeamusher.clock;

/**
 * A monotonic clock that also counts the time for which the machine was suspended.
 *
 * <p>The monotonic clock stops while the machine is suspended; the wall clock continues. This clock
 * therefore adds the time that the wall clock gains on the monotonic clock between two readings. A
 * forward step of the wall clock is counted as well: this clock may run ahead, so that measured
 * ages are too large, but a backward step is never subtracted. A suspension that a backward step
 * hides between two readings is not detected, so the clock has to be read often.
 */
public final class SuspendAwareClock implements Clock {

  /** The instance for the clocks of this machine. */
  public static final SuspendAwareClock INSTANCE =
      new SuspendAwareClock(MonotonicClock.INSTANCE, SystemClock.INSTANCE);

  /** Tolerance for the time between the readings of the two clocks. */
  private static final long READ_JITTER_MILLIS = 20;

  private final Clock monotonic;
  private final Clock wallClock;
  private long offsetMillis;
  private long suspendedMillis;

  /**
   * Creates a clock.
   *
   * @param monotonic stops while the machine is suspended
   * @param wallClock the wall clock, which continues during suspension and may be set
   */
  public SuspendAwareClock(Clock monotonic, Clock wallClock) {
    this.monotonic = monotonic;
    this.wallClock = wallClock;
    this.offsetMillis = wallClock.millis() - monotonic.millis();
  }

  @Override
  public synchronized long millis() {
    long now = monotonic.millis();
    long offset = wallClock.millis() - now;
    long gained = offset - offsetMillis;
    if (gained > READ_JITTER_MILLIS) {
      suspendedMillis += gained;
      offsetMillis = offset;
    } else if (gained < -READ_JITTER_MILLIS) {
      offsetMillis = offset;
    }
    return now + suspendedMillis;
  }
}
