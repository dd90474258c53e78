package org.hornbeamusher.bench.policy;

import java.util.PriorityQueue;
import org.hornbeamusher.clock.ManualClock;

/** Event queue in virtual time: runs actions by time, then in the order they were added. */
final class EventHeap {

  private final ManualClock clock = new ManualClock(0);
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long added;

  long now() {
    return clock.millis();
  }

  void at(long millis, Runnable action) {
    events.add(new Event(Math.max(millis, now()), added++, action));
  }

  void after(long millis, Runnable action) {
    at(now() + millis, action);
  }

  void runUntil(long endMillis) {
    while (!events.isEmpty() && events.peek().millis <= endMillis) {
      Event next = events.remove();
      clock.set(next.millis);
      next.action.run();
    }
  }

  private record Event(long millis, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(millis, other.millis);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }
}
