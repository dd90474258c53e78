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
 * Runs all connections on the single I/O thread that also runs the process's event loop.
 *
 * <p>An entry has a connection to every agent and an agent has one to every entry, and most
 * messages are a few bytes that update the state of the process. With threads per connection, a
 * message wakes a reader thread, which wakes the thread of the event loop, which wakes a writer
 * thread; here it is read, handled and answered in one iteration of the loop. The messages sent
 * during an iteration are written together at its end, and one timer serves the heartbeats of all
 * connections.
 *
 * <p>Everything except the creation of services is confined to that thread; calls from other
 * threads are handed over to it. Connections are not encrypted: TLS needs {@link WireServer} and
 * {@link WireConnector}.
 */
public final class LoopTransport implements WireTransport {

  private final XnioWorker worker;
  private final XnioIoThread thread;
  private final WireSettings settings;
  private final Clock clock;
  private final Set<LoopConnection> connections = new LinkedHashSet<>();
  private boolean tickScheduled;

  /**
   * Creates a transport.
   *
   * @param worker a started worker with a single I/O thread
   * @param settings intervals and limits
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

  /**
   * Runs a task on the I/O thread, at once if called from it; discards it when the worker has
   * stopped.
   */
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

  /** Runs a task on the I/O thread after a delay; the key cancels it. */
  XnioExecutor.Key schedule(Runnable task, long millis) {
    try {
      return thread.executeAfter(task, millis, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      // The worker has been stopped and runs no more tasks.
      return () -> false;
    }
  }

  void register(LoopConnection connection) {
    connections.add(connection);
    if (!tickScheduled) {
      tickScheduled = true;
      scheduleTick();
    }
  }

  void unregister(LoopConnection connection) {
    connections.remove(connection);
  }

  private void scheduleTick() {
    schedule(this::tick, settings.heartbeatIntervalMillis());
  }

  private void tick() {
    tickScheduled = !connections.isEmpty();
    List.copyOf(connections).forEach(LoopConnection::tick);
    if (tickScheduled) {
      scheduleTick();
    }
  }
}
