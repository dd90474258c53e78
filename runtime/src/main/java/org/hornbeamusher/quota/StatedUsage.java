package org.hornbeamusher.quota;

import java.util.LinkedHashMap;
import java.util.SequencedMap;

/**
 * Usage that one other process states, placed in the time of the own clock. Clocks of processes are
 * not compared: a step is placed by its age at the first statement of it and remains there, so that
 * later statements of the same step replace it.
 *
 * @param <K> identifies what uses
 */
final class StatedUsage<K> {

  private final SequencedMap<Cell<K>, Placed> cells = new LinkedHashMap<>();
  private long windowMillis;

  StatedUsage(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  void extendWindow(long millis) {
    windowMillis = Math.max(windowMillis, millis);
  }

  /**
   * Records a statement.
   *
   * @param key what uses
   * @param step the step by the clock of the sender
   * @param currentStep the sender's step when it made the statement
   * @param units all units used in that step
   * @param now milliseconds
   * @return how this changes what was stated before
   */
  Change record(K key, long step, long currentStep, long units, long now) {
    removeExpired(now);
    long usedMillis = now - UsageSteps.millisBetween(step, currentStep);
    Cell<K> cell = new Cell<>(key, step);
    Placed before = cells.get(cell);
    if (before == null && now - usedMillis > windowMillis) {
      return new Change(0, usedMillis);
    }
    Placed placed = new Placed(units, before == null ? usedMillis : before.usedMillis);
    cells.put(cell, placed);
    return new Change(before == null ? units : units - before.units, placed.usedMillis);
  }

  boolean isEmpty(long now) {
    removeExpired(now);
    return cells.isEmpty();
  }

  private void removeExpired(long now) {
    while (!cells.isEmpty() && now - cells.firstEntry().getValue().usedMillis > windowMillis) {
      cells.pollFirstEntry();
    }
  }

  /**
   * How a statement changes usage.
   *
   * @param units units more than stated before; negative if there are fewer
   * @param usedMillis when they were used, by the own clock
   */
  record Change(long units, long usedMillis) {}

  private record Cell<K>(K key, long step) {}

  private record Placed(long units, long usedMillis) {}
}
