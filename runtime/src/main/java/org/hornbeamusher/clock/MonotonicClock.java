package org.hornbeamusher.clock;

import java.util.concurrent.TimeUnit;

/**
 * The machine's monotonic clock: milliseconds since an arbitrary moment.
 *
 * <p>The time of day may step by seconds in either direction. A timeout measured with it would fire
 * at once or not for seconds, so every duration inside one process is measured with this clock. Its
 * values mean nothing to another process.
 */
public final class MonotonicClock implements Clock {

  /** The only instance. */
  public static final MonotonicClock INSTANCE = new MonotonicClock();

  private MonotonicClock() {}

  @Override
  public long millis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
