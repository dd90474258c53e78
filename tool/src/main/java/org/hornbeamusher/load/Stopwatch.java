package org.hornbeamusher.load;

import java.util.concurrent.TimeUnit;

/**
 * Microseconds for measurements.
 *
 * <p>The project's clock counts milliseconds, which is coarser than the latency that is measured
 * here. No decision depends on this one.
 */
public final class Stopwatch {

  private Stopwatch() {}

  /**
   * Returns a point in time.
   *
   * @return microseconds since any fixed moment
   */
  public static long micros() {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
  }
}
