package org.hornbeamusher.loop;

import java.util.concurrent.Executor;

/**
 * A single thread that runs tasks in order.
 *
 * <p>The state of an entry or agent is confined to its loop, so that every decision sees a
 * consistent state without locks. A task that blocks delays all others.
 */
public interface EventLoop extends Executor {

  /**
   * Runs a task after a delay.
   *
   * @param delayMillis the delay
   * @param task the task
   * @return a handle that cancels the task
   */
  Timer after(long delayMillis, Runnable task);

  /** A task that has not run yet. */
  interface Timer {

    /** Cancels the task; does nothing if it has run already. */
    void cancel();
  }
}
