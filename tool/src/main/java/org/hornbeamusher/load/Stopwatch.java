package org.hornbeamusher.load;

import java.util.concurrent.TimeUnit;

/**
 * Monotonic time in microseconds for latency measurements.
 *
 * <p>The project's clock has a resolution of milliseconds, which is too coarse for the latencies
 * measured here. Use this for measurements only, never for decisions.
 */
public final class Stopwatch {

  private Stopwatch() {}

  /**
   * Returns a point in time.
   *
   * @return microseconds since an arbitrary fixed origin
   */
  public static long micros() {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
  }
}
