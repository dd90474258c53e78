package org.hornbeamusher.wire;

import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.clock.Clock;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Connections that share the one I/O thread on which a process decides.
 *
 * <p>An entry has a connection to every agent and an agent one to every entry, and most of what
 * they carry is a few bytes that change what the process believes. On threads of their own, a
 * message wakes a reader, which wakes the thread that decides, which wakes a writer; here it is
 * read, decided on and answered in one turn of the loop. What is sent in a turn leaves in one write
 * at its end, and one timer serves the heartbeats of all connections.
 *
 * <p>Everything but the making of services is confined to that thread; calls from others are handed
 * over to it. Connections are plain: TLS needs {@link WireServer} and {@link WireConnector}.
 */
public final class LoopTransport implements WireTransport {

  private final XnioWorker worker;
  private final XnioIoThread thread;
  private final WireSettings settings;
  private final Clock clock;
  private final Set<LoopConnection> connections = new LinkedHashSet<>();
  private boolean ticking;

  /**
   * Creates a transport.
   *
   * @param worker a started worker with a single I/O thread
   * @param settings intervals and bounds
   * @param clock monotonic
   */
  public LoopTransport(XnioWorker worker, WireSettings settings, Clock clock) {
    this.worker = worker;
    this.thread = worker.getIoThread(0);
    this.settings = settings;
    this.clock = clock;
  }

  @Override
  public LoopServer listen(InetSocketAddress address, Message.Hello own, WireListener listener) {
    return new LoopServer(this, address, own, listener);
  }

  @Override
  public LoopConnector connect(
      InetSocketAddress address, Message.Hello own, WireListener listener) {
    return new LoopConnector(this, address, own, listener);
  }

  XnioWorker worker() {
    return worker;
  }

  XnioIoThread thread() {
    return thread;
  }

  WireSettings settings() {
    return settings;
  }

  Clock clock() {
    return clock;
  }

  /** Runs a task on the thread: now if this is it. A worker that was stopped runs nothing more. */
  void run(Runnable task) {
    if (Thread.currentThread() == thread) {
      task.run();
      return;
    }
    try {
      thread.execute(task);
    } catch (RejectedExecutionException e) {
      // The worker has been stopped, and has closed every connection.
    }
  }

  /** Runs a task later; the key takes it back. */
  XnioExecutor.Key later(Runnable task, long millis) {
    try {
      return thread.executeAfter(task, millis, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      // The worker has been stopped: nothing is later any more.
      return () -> false;
    }
  }

  void opened(LoopConnection connection) {
    connections.add(connection);
    if (!ticking) {
      ticking = true;
      tickLater();
    }
  }

  void closed(LoopConnection connection) {
    connections.remove(connection);
  }

  private void tickLater() {
    later(this::tick, settings.heartbeatIntervalMillis());
  }

  private void tick() {
    ticking = !connections.isEmpty();
    List.copyOf(connections).forEach(LoopConnection::tick);
    if (ticking) {
      tickLater();
    }
  }
}
