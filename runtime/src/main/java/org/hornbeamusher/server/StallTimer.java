package org.hornbeamusher.server;

import java.util.concurrent.TimeUnit;
import org.hornbeamusher.clock.MonotonicClock;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Runs a task once a transfer has made no progress for a time. Confined to the I/O thread of the
 * connection.
 *
 * <p>Progress only records the time. The timer is set again when it expires early, so that a
 * transfer of many parts does not set one for each.
 */
public final class StallTimer {

  private final XnioIoThread thread;
  private final long timeoutMillis;
  private final Runnable task;
  private long progressMillis;
  private XnioExecutor.Key timer;

  /**
   * Creates a timer that is not started.
   *
   * @param thread the I/O thread of the connection
   * @param timeoutMillis the longest time without progress
   * @param task called once, on that thread, unless the timer is stopped before
   */
  public StallTimer(XnioIoThread thread, long timeoutMillis, Runnable task) {
    this.thread = thread;
    this.timeoutMillis = timeoutMillis;
    this.task = task;
  }

  /** Starts the timer. */
  public void start() {
    progressed();
    schedule(timeoutMillis);
  }

  /** Records progress. */
  public void progressed() {
    progressMillis = MonotonicClock.INSTANCE.millis();
  }

  /** Stops the timer, if it was started. */
  public void stop() {
    if (timer != null) {
      timer.remove();
      timer = null;
    }
  }

  private void schedule(long afterMillis) {
    timer = thread.executeAfter(this::check, afterMillis, TimeUnit.MILLISECONDS);
  }

  private void check() {
    if (timer == null) {
      return;
    }
    long stalledMillis = MonotonicClock.INSTANCE.millis() - progressMillis;
    if (stalledMillis < timeoutMillis) {
      schedule(timeoutMillis - stalledMillis);
    } else {
      timer = null;
      task.run();
    }
  }
}
