package org.hornbeamusher.loop;

import java.util.concurrent.Executor;

/**
 * A single thread that runs tasks in order.
 *
 * <p>Everything an entry or agent knows is confined to its loop, so that no decision is made on
 * half-changed state and none needs a lock. A task that blocks holds up everything else.
 */
public interface EventLoop extends Executor {

  /**
   * Runs a task later.
   *
   * @param delayMillis from now
   * @param task what to run
   * @return cancels it
   */
  Timer after(long delayMillis, Runnable task);

  /** A task that has not run yet. */
  interface Timer {

    /** Keeps the task from running; does nothing once it ran. */
    void cancel();
  }
}
