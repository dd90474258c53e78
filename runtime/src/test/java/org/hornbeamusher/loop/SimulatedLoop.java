package org.hornbeamusher.loop;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.hornbeamusher.clock.ManualClock;

/** An event loop on simulated time, which advances to the next task without waiting. */
public final class SimulatedLoop implements EventLoop {

  private final ManualClock clock = new ManualClock(0);
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparing(Task::atMillis).thenComparing(Task::number));
  private long count;

  /** Returns the clock of this loop. */
  public ManualClock clock() {
    return clock;
  }

  @Override
  public void execute(Runnable task) {
    after(0, task);
  }

  @Override
  public Timer after(long delayMillis, Runnable run) {
    Task task = new Task(clock.millis() + delayMillis, count++, run);
    tasks.add(task);
    return () -> tasks.remove(task);
  }

  /** Runs every task that is due by this time, in order. */
  public void runUntil(long millis) {
    while (!tasks.isEmpty() && tasks.peek().atMillis() <= millis) {
      Task next = tasks.poll();
      clock.set(Math.max(clock.millis(), next.atMillis()));
      next.run().run();
    }
    clock.set(millis);
  }

  private record Task(long atMillis, long number, Runnable run) {}
}
