package org.hornbeamusher.http;

import java.util.concurrent.TimeUnit;
import org.hornbeamusher.loop.EventLoop;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The I/O thread of an {@link HttpClient} with a single one, as a loop. */
final class XnioLoop implements EventLoop {

  private final XnioIoThread thread;

  XnioLoop(XnioIoThread thread) {
    this.thread = thread;
  }

  @Override
  public void execute(Runnable task) {
    thread.execute(task);
  }

  @Override
  public Timer after(long delayMillis, Runnable task) {
    XnioExecutor.Key key =
        thread.executeAfter(task, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
    return key::remove;
  }
}
