package org.hornbeamusher.quota;

import java.util.Arrays;

/**
 * Adds up units of the last window, in steps. What is given back is taken off where it was added.
 */
final class WindowSum {

  private static final int STEPS = 80;

  private final long stepMillis;
  private final long[] sums = new long[STEPS];
  private long step = Long.MIN_VALUE;
  private long total;

  WindowSum(long windowMillis) {
    this.stepMillis = Math.max(1, (windowMillis + STEPS - 1) / STEPS);
  }

  void add(long units, long now) {
    advance(now);
    sums[index(step)] += units;
    total += units;
  }

  /** Takes off what was added at a moment, unless that has left the window. */
  void takeOff(long units, long addedMillis, long now) {
    advance(now);
    long at = addedMillis / stepMillis;
    if (step - at < STEPS) {
      sums[index(at)] -= units;
      total -= units;
    }
  }

  long total(long now) {
    advance(now);
    return total;
  }

  /** Returns how long it takes until less than a number of units is left in the window. */
  long millisUntilBelow(double limit, long now) {
    return millisUntilBelow(limit, new WindowSum(stepMillis * STEPS), now);
  }

  /** Likewise, of the units of this window and of another one of the same length together. */
  long millisUntilBelow(double limit, WindowSum other, long now) {
    advance(now);
    other.advance(now);
    long left = total + other.total;
    long at = step - STEPS + 1;
    while (left >= limit && at <= step) {
      left -= sums[index(at)] + other.sums[index(at)];
      at++;
    }
    return Math.max(0, (at + STEPS - 1) * stepMillis - now);
  }

  private void advance(long now) {
    long current = now / stepMillis;
    if (step == Long.MIN_VALUE || current - step >= STEPS) {
      Arrays.fill(sums, 0);
      total = 0;
      step = current;
      return;
    }
    while (step < current) {
      step++;
      total -= sums[index(step)];
      sums[index(step)] = 0;
    }
  }

  private static int index(long at) {
    return (int) Math.floorMod(at, (long) STEPS);
  }
}
