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
    XnioExecutor.Key key =
        thread.executeAfter(task, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
    return key::remove;
  }
}
