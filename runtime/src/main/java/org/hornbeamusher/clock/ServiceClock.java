package org.hornbeamusher.clock;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates the steady clock of the platform's table service, which its responses state. Processes
 * compare times by it, because the wall clocks of their machines differ and may be set.
 *
 * <p>A response was on its way when it is read, so the time that it states has passed. The estimate
 * follows the response that was on its way for the shortest time, of the last ones. Before the
 * first response the wall clock is used.
 */
public final class ServiceClock implements Clock {

  private static final int OBSERVATIONS = 16;

  /** More than a response takes; a greater step back shows that the service's clock was reset. */
  private static final long MAX_DELAY_MILLIS = 30_000;

  private final Clock monotonic;
  private final Deque<Long> offsets = new ArrayDeque<>();
  private long offsetMillis;

  /**
   * Creates a clock.
   *
   * @param monotonic the monotonic clock of this process
   * @param wallClock used until the service has stated its time
   */
  public ServiceClock(Clock monotonic, Clock wallClock) {
    this.monotonic = monotonic;
    this.offsetMillis = wallClock.millis() - monotonic.millis();
  }

  /**
   * Called when a response of the service is read.
   *
   * @param serviceMillis the time that it states, in milliseconds
   */
  public synchronized void observe(long serviceMillis) {
    long offset = serviceMillis - monotonic.millis();
    if (offset < offsetMillis - MAX_DELAY_MILLIS) {
      offsets.clear();
    }
    offsets.add(offset);
    if (offsets.size() > OBSERVATIONS) {
      offsets.remove();
    }
    offsetMillis = offsets.stream().mapToLong(Long::longValue).max().orElse(offset);
  }

  /**
   * Returns the estimated time of the service.
   *
   * @return milliseconds
   */
  @Override
  public synchronized long millis() {
    return monotonic.millis() + offsetMillis;
  }
}
