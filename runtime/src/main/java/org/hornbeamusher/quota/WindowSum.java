package org.hornbeamusher.quota;

import java.util.Arrays;
import java.util.List;

/**
 * Sum of units over a sliding window, kept in fixed steps. It covers at least the whole window and
 * at most one step more. A refund is subtracted from the step in which the units were used.
 */
final class WindowSum {

  private static final int STEPS_PER_WINDOW = 80;

  /** The last usage before a boundary may not have been reported by then. */
  private static final long UNREPORTED_MILLIS = 200;

  /** Two sums place the same units up to a step of a report apart. */
  private static final long PLACED_APART_MILLIS = 100;

  /** The step that the window's begin falls into counts as a whole. */
  private static final int STEPS = STEPS_PER_WINDOW + 1;

  private final long stepMillis;
  private final long[] sums = new long[STEPS];
  private long currentStep = Long.MIN_VALUE;
  private long total;

  WindowSum(long windowMillis) {
    this.stepMillis = Math.max(1, (windowMillis + STEPS_PER_WINDOW - 1) / STEPS_PER_WINDOW);
  }

  private WindowSum(WindowSum like) {
    this.stepMillis = like.stepMillis;
    this.currentStep = like.currentStep;
  }

  /**
   * Returns the largest of several sums in each part of the window. Sums may place the same units
   * in neighbouring steps, so within parts only totals are compared; near a boundary each step is a
   * part, so that none of the units placed on either side of it are lost.
   *
   * @param sums at least one, of equal length
   * @param boundariesMillis the times between the parts; those outside of the window have no effect
   */
  static WindowSum largestParts(List<WindowSum> sums, List<Long> boundariesMillis, long now) {
    sums.forEach(sum -> sum.advance(now));
    WindowSum largest = new WindowSum(sums.getFirst());
    long first = largest.currentStep - STEPS + 1;
    boolean[] begins = new boolean[STEPS];
    for (long boundary : boundariesMillis) {
      long from = Math.floorDiv(boundary - UNREPORTED_MILLIS, largest.stepMillis);
      long to = Math.floorDiv(boundary + PLACED_APART_MILLIS, largest.stepMillis) + 1;
      for (long step = Math.max(first, from); step <= Math.min(largest.currentStep, to); step++) {
        begins[(int) (step - first)] = true;
      }
    }
    for (int begin = 0; begin < STEPS; ) {
      int end = begin + 1;
      while (end < STEPS && !begins[end]) {
        end++;
      }
      largest.copyLargest(sums, first + begin, first + end);
      begin = end;
    }
    return largest;
  }

  /** Copies the steps of the sum that has most units in them. */
  private void copyLargest(List<WindowSum> candidates, long from, long end) {
    long most = Long.MIN_VALUE;
    WindowSum largest = null;
    for (WindowSum candidate : candidates) {
      long units = 0;
      for (long step = from; step < end; step++) {
        units += candidate.sums[index(step)];
      }
      if (units > most) {
        most = units;
        largest = candidate;
      }
    }
    for (long step = from; step < end; step++) {
      sums[index(step)] = largest.sums[index(step)];
    }
    total += most;
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
