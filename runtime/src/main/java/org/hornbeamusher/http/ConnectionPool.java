package org.hornbeamusher.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;
import org.hornbeamusher.clock.MonotonicClock;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioWorker;

/**
 * Idle connections by origin. The most recently used one is handed out first, so that the others
 * age and are closed by their servers.
 *
 * <p>A server closes a connection that was idle for its own timeout. A request that crosses this
 * close is reset, and whether it ran is not known, so a connection is not used again once it was
 * idle for most of the time that its server stated.
 */
final class ConnectionPool {

  /** Beyond this many idle connections of one origin, a returned one is closed. */
  private static final int MAX_IDLE = 256;

  /**
   * The worker's own options do not reach client sockets. Without the first, a request's last small
   * segment may wait for the acknowledgement of the one before it. The second one makes a close a
   * reset: a request that is held up on the way is then dropped with its connection, and does not
   * run seconds after it was cancelled.
   */
  private static final OptionMap OPTIONS =
      OptionMap.create(Options.TCP_NODELAY, true, Options.CLOSE_ABORT, true);

  private final ConcurrentHashMap<String, ConcurrentLinkedDeque<Idle>> idle =
      new ConcurrentHashMap<>();

  /** Connections of each origin that are open or being opened, idle ones included. */
  private final ConcurrentHashMap<String, AtomicInteger> open = new ConcurrentHashMap<>();

  private UndertowClient client;
  private XnioWorker worker;
  private ByteBufferPool buffers;

  void start(UndertowClient client, XnioWorker worker, ByteBufferPool buffers) {
    this.client = client;
    this.worker = worker;
    this.buffers = buffers;
  }

  void stop() {
    idle.keySet().forEach(this::purge);
  }

  /**
   * Hands out an idle connection, or opens one. Fails with {@link ConnectionLimitException} when as
   * many are open as may be.
   */
  void acquire(URI uri, int mostConnections, ClientCallback<ClientConnection> callback) {
    ClientConnection pooled = pollOpen(uri.getAuthority());
    if (pooled != null) {
      callback.completed(pooled);
      return;
    }
    AtomicInteger count = open.computeIfAbsent(uri.getAuthority(), key -> new AtomicInteger());
    if (count.incrementAndGet() > mostConnections) {
      count.decrementAndGet();
      callback.failed(new ConnectionLimitException(uri.getAuthority(), mostConnections));
      return;
    }
    client.connect(counted(callback, count), uri, worker, buffers, OPTIONS);
  }

  private static ClientCallback<ClientConnection> counted(
      ClientCallback<ClientConnection> callback, AtomicInteger count) {
    return new ClientCallback<>() {
      @Override
      public void completed(ClientConnection opened) {
        opened.addCloseListener(closed -> count.decrementAndGet());
        callback.completed(opened);
      }

      @Override
      public void failed(IOException e) {
        count.decrementAndGet();
        callback.failed(e);
      }
    };
  }

  /** Takes back a connection whose exchange ended cleanly, for use within some time. */
  void release(URI uri, ClientConnection connection, long usableMillis) {
    ConcurrentLinkedDeque<Idle> queue = queue(uri.getAuthority());
    if (!connection.isOpen() || usableMillis <= 0 || queue.size() >= MAX_IDLE) {
      IoUtils.safeClose(connection);
      return;
    }
    queue.addFirst(new Idle(connection, MonotonicClock.INSTANCE.millis() + usableMillis));
  }

  /** Closes the idle connections of an origin, because they may be dead without showing it. */
  void purge(String origin) {
    ConcurrentLinkedDeque<Idle> queue = idle.remove(origin);
    if (queue != null) {
      queue.forEach(entry -> IoUtils.safeClose(entry.connection()));
    }
  }

  private ClientConnection pollOpen(String origin) {
    ConcurrentLinkedDeque<Idle> queue = queue(origin);
    long now = MonotonicClock.INSTANCE.millis();
    Idle candidate = queue.pollFirst();
    while (candidate != null) {
      if (candidate.connection().isOpen() && now < candidate.usableUntilMillis()) {
        return candidate.connection();
      }
      IoUtils.safeClose(candidate.connection());
      candidate = queue.pollFirst();
    }
    return null;
  }

  private ConcurrentLinkedDeque<Idle> queue(String origin) {
    return idle.computeIfAbsent(origin, key -> new ConcurrentLinkedDeque<>());
  }

  private record Idle(ClientConnection connection, long usableUntilMillis) {}
}
