package org.hornbeamusher.quota;

import java.util.Arrays;

/**
 * Sum of units over a sliding window, kept in fixed steps. A refund is subtracted from the step in
 * which the units were added.
 */
final class WindowSum {

  private static final int STEPS = 80;

  private final long stepMillis;
  private final long[] sums = new long[STEPS];
  private long currentStep = Long.MIN_VALUE;
  private long total;

  WindowSum(long windowMillis) {
    this.stepMillis = Math.max(1, (windowMillis + STEPS - 1) / STEPS);
  }

  void add(long units, long now) {
    advance(now);
    sums[index(currentStep)] += units;
    total += units;
  }

  /** Subtracts units that were added at an earlier time, unless that time has left the window. */
  void subtract(long units, long addedMillis, long now) {
    advance(now);
    long addedStep = addedMillis / stepMillis;
    if (currentStep - addedStep < STEPS) {
      sums[index(addedStep)] -= units;
      total -= units;
    }
  }

  long total(long now) {
    advance(now);
    return total;
  }

  /** Returns the time until the sum over the window falls below a limit. */
  long millisUntilBelow(double limit, long now) {
    return millisUntilBelow(limit, new WindowSum(stepMillis * STEPS), now);
  }

  /**
   * Returns the time until the sum over this and another window of equal length falls below a
   * limit.
   */
  long millisUntilBelow(double limit, WindowSum other, long now) {
    advance(now);
    other.advance(now);
    long left = total + other.total;
    long at = currentStep - STEPS + 1;
    while (left >= limit && at <= currentStep) {
      left -= sums[index(at)] + other.sums[index(at)];
      at++;
    }
    return Math.max(0, (at + STEPS - 1) * stepMillis - now);
  }

  private void advance(long now) {
    long current = now / stepMillis;
    if (currentStep == Long.MIN_VALUE || current - currentStep >= STEPS) {
      Arrays.fill(sums, 0);
      total = 0;
      currentStep = current;
      return;
    }
    while (currentStep < current) {
      currentStep++;
      total -= sums[index(currentStep)];
      sums[index(currentStep)] = 0;
    }
  }

  private static int index(long at) {
    return (int) Math.floorMod(at, (long) STEPS);
  }
}
