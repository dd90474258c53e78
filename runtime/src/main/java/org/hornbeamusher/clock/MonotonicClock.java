package org.hornbeamusher.clock;

import java.util.concurrent.TimeUnit;

/**
 * The machine's monotonic clock: milliseconds since an arbitrary origin.
 *
 * <p>The wall clock may step by seconds in either direction. A timeout measured with it could fire
 * at once or seconds late, so every duration within one process is measured with this clock. Its
 * values are meaningless to other processes.
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
