package org.hornbeamusher.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;
import org.hornbeamusher.clock.MonotonicClock;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Pools idle connections by origin. The most recently used one is reused first, so that the others
 * reach the idle timeouts of their servers and are closed.
 *
 * <p>A server closes a connection after its idle timeout. A request sent at the moment of this
 * close fails with a reset, and whether it ran is unknown. So a connection is not reused once it
 * was idle for most of the timeout that its server stated.
 *
 * <p>A connection carries a request at most once, see {@link CarriedRequests}.
 */
final class ConnectionPool {

  /** The maximum number of idle connections for each origin; further ones are closed. */
  private static final int MAX_IDLE = 256;

  /**
   * The options of the worker do not apply to client sockets. Without {@code TCP_NODELAY}, the last
   * small segment of a request may wait for the acknowledgement of the segment before it. {@code
   * CLOSE_ABORT} resets a connection when it is closed: a cancelled request that is delayed in the
   * network is then dropped with its connection instead of running seconds later.
   */
  private static final OptionMap OPTIONS =
      OptionMap.create(Options.TCP_NODELAY, true, Options.CLOSE_ABORT, true);

  private static final Runnable NOTHING_TO_STOP = () -> {};

  private final ConcurrentHashMap<String, ConcurrentLinkedDeque<IdleConnection>> idle =
      new ConcurrentHashMap<>();

  /**
   * The number of connections to each origin that are open or being opened, including idle ones.
   */
  private final ConcurrentHashMap<String, AtomicInteger> open = new ConcurrentHashMap<>();

  private final ConcurrentHashMap<ClientConnection, OpenConnection> openConnections =
      new ConcurrentHashMap<>();

  private final ConcurrentHashMap<XnioIoThread, LimitedConnector> connectors =
      new ConcurrentHashMap<>();

  private final FramingBudget framingBudget;
  private UndertowClient client;
  private XnioWorker worker;
  private ByteBufferPool buffers;

  /** Creates a pool that is not started, whose connections share a budget. */
  ConnectionPool(FramingBudget framingBudget) {
    this.framingBudget = framingBudget;
  }

  void start(UndertowClient client, XnioWorker worker, ByteBufferPool buffers) {
    this.client = client;
    this.worker = worker;
    this.buffers = buffers;
  }

  void stop() {
    idle.keySet().forEach(this::purge);
  }

  /**
   * Passes an idle or a new connection to the callback. Fails with {@link ConnectionLimitException}
   * when the maximum number of connections is open and in use.
   *
   * @return stops opening a new connection, which no longer counts then; the system would try for
   *     up to two minutes
   */
  Runnable acquire(URI uri, ConnectionOptions options, ClientCallback<ClientConnection> callback) {
    String origin = uri.getAuthority();
    ClientConnection pooled = options.reuse() ? pollOpen(origin, options.id()) : null;
    if (pooled != null) {
      callback.completed(pooled);
      return NOTHING_TO_STOP;
    }
    AtomicInteger count = open.computeIfAbsent(origin, key -> new AtomicInteger());
    if (count.incrementAndGet() > options.maxConnections() && !closeIdle(origin)) {
      count.decrementAndGet();
      callback.failed(new ConnectionLimitException(origin, options.maxConnections()));
      return NOTHING_TO_STOP;
    }
    LimitedConnector connector =
        connectors.computeIfAbsent(
            worker.getIoThread(), thread -> new LimitedConnector(thread, framingBudget));
    ClientCallback<ClientConnection> opened = opened(callback, connector, count);
    client.connect(opened, uri, connector, buffers, OPTIONS);
    IoFuture<StreamConnection> opening = connector.takeOpening();
    opening.addNotifier(
        (ended, origins) -> {
          if (ended.getStatus() == IoFuture.Status.CANCELLED) {
            opened.failed(new IOException("stopped opening the connection"));
          }
        },
        null);
    return opening::cancel;
  }

  /** Returns what is known of an open connection; null if it has been closed. */
  OpenConnection state(ClientConnection connection) {
    return openConnections.get(connection);
  }

  private ClientCallback<ClientConnection> opened(
      ClientCallback<ClientConnection> callback, LimitedConnector connector, AtomicInteger count) {
    return new ClientCallback<>() {
      @Override
      public void completed(ClientConnection opened) {
        OpenConnection state = connector.opened();
        openConnections.put(opened, state);
        opened.addCloseListener(
            closed -> {
              state.limit().connectionClosed();
              openConnections.remove(opened);
              count.decrementAndGet();
            });
        callback.completed(opened);
      }

      @Override
      public void failed(IOException e) {
        count.decrementAndGet();
        callback.failed(e);
      }
    };
  }

  /**
   * Returns a connection to the pool after a complete exchange. It may be reused within the given
   * time, and is closed if that is not positive.
   */
  void release(URI uri, ClientConnection connection, long usableMillis) {
    ConcurrentLinkedDeque<IdleConnection> queue = queue(uri.getAuthority());
    OpenConnection state = state(connection);
    boolean reusable = state != null && state.mayBeReused() && usableMillis > 0;
    if (!connection.isOpen() || !reusable || queue.size() >= MAX_IDLE) {
      IoUtils.safeClose(connection);
      return;
    }
    queue.addFirst(new IdleConnection(connection, MonotonicClock.INSTANCE.millis() + usableMillis));
  }

  /** Closes the idle connections to an origin, which may be dead without having been closed. */
  void purge(String origin) {
    ConcurrentLinkedDeque<IdleConnection> queue = idle.remove(origin);
    if (queue != null) {
      queue.forEach(entry -> IoUtils.safeClose(entry.connection()));
    }
  }

  private boolean closeIdle(String origin) {
    ClientConnection connection = pollOpen(origin, Optional.empty());
    if (connection == null) {
      return false;
    }
    IoUtils.safeClose(connection);
    return true;
  }

  /** Takes an idle connection that may carry this request; null if there is none. */
  private ClientConnection pollOpen(String origin, Optional<EchoedId> id) {
    ConcurrentLinkedDeque<IdleConnection> queue = queue(origin);
    long now = MonotonicClock.INSTANCE.millis();
    for (IdleConnection candidate : queue) {
      boolean usable = candidate.isUsable(now);
      if ((usable && !mayCarry(candidate.connection(), id)) || !queue.remove(candidate)) {
        continue;
      }
      if (usable) {
        return candidate.connection();
      }
      IoUtils.safeClose(candidate.connection());
    }
    return null;
  }

  private boolean mayCarry(ClientConnection connection, Optional<EchoedId> id) {
    OpenConnection state = state(connection);
    return state == null || state.mayCarry(id);
  }

  private ConcurrentLinkedDeque<IdleConnection> queue(String origin) {
    return idle.computeIfAbsent(origin, key -> new ConcurrentLinkedDeque<>());
  }

  /** Compared by identity: one that another thread took and returned meanwhile is another one. */
  private static final class IdleConnection {

    private final ClientConnection connection;
    private final long usableUntilMillis;

    private IdleConnection(ClientConnection connection, long usableUntilMillis) {
      this.connection = connection;
      this.usableUntilMillis = usableUntilMillis;
    }

    private ClientConnection connection() {
      return connection;
    }

    private boolean isUsable(long nowMillis) {
      return connection.isOpen() && nowMillis < usableUntilMillis;
    }
  }
}
