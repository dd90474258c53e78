package org.hornbeamusher.bench.faults;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.hornbeamusher.clock.ManualClock;

/** Event queue of one history: runs actions in the order of virtual time. */
final class Timeline {

  /** A time in 2025, so that idempotency keys contain a realistic timestamp. */
  static final long START_MILLIS = 1_764_700_000_000L;

  private final ManualClock clock = new ManualClock(START_MILLIS);
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::millis).thenComparingLong(Event::ordinal));
  private long ordinal;

  private record Event(long millis, long ordinal, Runnable action) {}

  ManualClock clock() {
    return clock;
  }

  long now() {
    return clock.millis();
  }

  void after(long delayMillis, Runnable action) {
    events.add(new Event(now() + delayMillis, ordinal++, action));
  }

  void every(long periodMillis, Runnable action) {
    after(
        periodMillis,
        () -> {
          action.run();
          every(periodMillis, action);
        });
  }

  /** Runs all actions that are due up to the given time after the start. */
  void runUntil(long millisAfterStart) {
    long end = START_MILLIS + millisAfterStart;
    while (!events.isEmpty() && events.peek().millis() <= end) {
      Event next = events.poll();
      clock.set(next.millis());
      next.action().run();
    }
    clock.set(end);
  }
}
