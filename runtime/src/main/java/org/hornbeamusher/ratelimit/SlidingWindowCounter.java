package org.hornbeamusher.ratelimit;

/** Counts events in a sliding window, in steps of 100 ms. */
public final class SlidingWindowCounter {

  private static final long STEP_MILLIS = 100;

  private final long[] counts;
  private long step = Long.MIN_VALUE;
  private long total;

  /**
   * Creates a counter without events.
   *
   * @param windowMillis length of the window
   */
  public SlidingWindowCounter(long windowMillis) {
    this.counts = new long[Math.toIntExact(windowMillis / STEP_MILLIS)];
  }

  /**
   * Counts an event.
   *
   * @param now milliseconds
   */
  public void add(long now) {
    advance(now);
    counts[index(step)]++;
    total++;
  }

  /**
   * Returns the number of events in the window that ends now.
   *
   * @param now milliseconds
   * @return the number
   */
  public long total(long now) {
    advance(now);
    return total;
  }

  private void advance(long now) {
    long current = now / STEP_MILLIS;
    if (step == Long.MIN_VALUE || current - step >= counts.length) {
      java.util.Arrays.fill(counts, 0);
      total = 0;
      step = current;
      return;
    }
    while (step < current) {
      step++;
      total -= counts[index(step)];
      counts[index(step)] = 0;
    }
  }

  private int index(long at) {
    return (int) Math.floorMod(at, (long) counts.length);
  }
}
