package org.hornbeamusher.quota;

import java.util.Arrays;

/**
 * Sum of units over a sliding window, kept in fixed steps. It covers at least the whole window and
 * at most one step more. A refund is subtracted from the step in which the units were used.
 */
final class WindowSum {

  private static final int STEPS_PER_WINDOW = 80;

  /** The step that the window's begin falls into counts as a whole. */
  private static final int STEPS = STEPS_PER_WINDOW + 1;

  private final long stepMillis;
  private final long[] sums = new long[STEPS];
  private long currentStep = Long.MIN_VALUE;
  private long total;

  WindowSum(long windowMillis) {
    this.stepMillis = Math.max(1, (windowMillis + STEPS_PER_WINDOW - 1) / STEPS_PER_WINDOW);
  }

  /** Adds units that were used at a time, unless it has left the window; negative for a refund. */
  void add(long units, long usedMillis, long now) {
    advance(now);
    long usedStep = Math.min(currentStep, Math.floorDiv(usedMillis, stepMillis));
    if (currentStep - usedStep < STEPS) {
      sums[index(usedStep)] += units;
      total += units;
    }
  }

  long total(long now) {
    advance(now);
    return total;
  }

  /** Returns the units that were used before a time. */
  long totalBefore(long millis, long now) {
    advance(now);
    long before = 0;
    long end = Math.min(currentStep + 1, Math.floorDiv(millis, stepMillis));
    for (long step = currentStep - STEPS + 1; step < end; step++) {
      before += sums[index(step)];
    }
    return before;
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
    long current = Math.floorDiv(now, stepMillis);
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
