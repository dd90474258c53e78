package org.hornbeamusher.http;

import java.util.concurrent.TimeUnit;
import org.hornbeamusher.loop.EventLoop;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** An event loop on the I/O thread of an {@link HttpClient} that has a single one. */
final class XnioEventLoop implements EventLoop {

  private final XnioIoThread thread;

  XnioEventLoop(XnioIoThread thread) {
    this.thread = thread;
  }

  @Override
  public void execute(Runnable task) {
    thread.execute(task);
  }

  @Override
  public Timer after(long delayMillis, Runnable task) {
    DelayedTask delayed = new DelayedTask(task);
    delayed.key = thread.executeAfter(delayed, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
    return delayed;
  }

  /**
   * A task that does not run once it is cancelled. The I/O thread moves all tasks that are due to
   * its queue at once, and removing their keys has no effect from then on.
   */
  private static final class DelayedTask implements Runnable, Timer {

    private final Runnable task;
    private volatile boolean cancelled;
    private XnioExecutor.Key key;

    DelayedTask(Runnable task) {
      this.task = task;
    }

    @Override
    public void run() {
      if (!cancelled) {
        task.run();
      }
    }

    @Override
    public void cancel() {
      cancelled = true;
      key.remove();
    }
  }
}
