package org.hornbeamusher.quota;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SequencedMap;

/**
 * Usage by key and step of time within a window. A refund reduces the step in which the units were
 * used. Changes are numbered, so that a reader can continue where it has read before.
 *
 * @param <K> identifies what uses
 */
final class UsageHistory<K> {

  /** In the order of their last change. */
  private final SequencedMap<Cell<K>, Usage> cells = new LinkedHashMap<>();

  private long windowMillis;
  private long changes;

  UsageHistory(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  void extendWindow(long millis) {
    windowMillis = Math.max(windowMillis, millis);
  }

  /** Adds units used at a time; negative for a refund. */
  void add(K key, long units, long usedMillis, long now) {
    removeExpired(now);
    Cell<K> cell = new Cell<>(key, UsageSteps.stepOf(usedMillis));
    if (units == 0 || isExpired(cell, now)) {
      return;
    }
    long before = units(key, cell.step);
    cells.putLast(cell, new Usage(before + units, ++changes));
  }

  /** Returns the units used in a step. */
  long units(K key, long step) {
    Usage usage = cells.get(new Cell<>(key, step));
    return usage == null ? 0 : usage.units;
  }

  /** Returns the number of the last change. */
  long lastChange() {
    return changes;
  }

  /** Passes on the steps that changed after a change, as they are now. */
  void forEachChangedSince(long change, long now, Reader<K> reader) {
    for (Map.Entry<Cell<K>, Usage> changed : cells.sequencedEntrySet().reversed()) {
      if (changed.getValue().change <= change) {
        return;
      }
      if (!isExpired(changed.getKey(), now)) {
        reader.read(changed.getKey().key, changed.getKey().step, changed.getValue().units);
      }
    }
  }

  boolean isEmpty(long now) {
    removeExpired(now);
    return cells.isEmpty();
  }

  private void removeExpired(long now) {
    while (!cells.isEmpty() && isExpired(cells.firstEntry().getKey(), now)) {
      cells.pollFirstEntry();
    }
  }

  private boolean isExpired(Cell<K> cell, long now) {
    return UsageSteps.millisBetween(cell.step, UsageSteps.stepOf(now)) > windowMillis;
  }

  /** Reads the usage of one step. */
  @FunctionalInterface
  interface Reader<K> {

    void read(K key, long step, long units);
  }

  private record Cell<K>(K key, long step) {}

  private record Usage(long units, long change) {}
}
