package org.hornbeamusher.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.net.URI;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioWorker;

/**
 * Idle connections by origin. The most recently used one is handed out first, so that the others
 * age and are closed by their servers.
 */
final class ConnectionPool {

  /** Beyond this many idle connections of one origin, a returned one is closed. */
  private static final int MAX_IDLE = 256;

  /**
   * The worker's own options do not reach client sockets. Without this one, a request's last small
   * segment may wait for the acknowledgement of the one before it.
   */
  private static final OptionMap NO_DELAY = OptionMap.create(Options.TCP_NODELAY, true);

  private final ConcurrentHashMap<String, ConcurrentLinkedDeque<ClientConnection>> idle =
      new ConcurrentHashMap<>();
  private UndertowClient client;
  private XnioWorker worker;
  private ByteBufferPool buffers;

  void start(UndertowClient client, XnioWorker worker, ByteBufferPool buffers) {
    this.client = client;
    this.worker = worker;
    this.buffers = buffers;
  }

  void stop() {
    idle.values().forEach(queue -> queue.forEach(IoUtils::safeClose));
    idle.clear();
  }

  /** Hands out an idle connection, or opens one. */
  void acquire(URI uri, ClientCallback<ClientConnection> callback) {
    ClientConnection pooled = pollOpen(uri.getAuthority());
    if (pooled != null) {
      callback.completed(pooled);
      return;
    }
    client.connect(callback, uri, worker, buffers, NO_DELAY);
  }

  /** Takes back a connection whose exchange ended cleanly. */
  void release(URI uri, ClientConnection connection) {
    ConcurrentLinkedDeque<ClientConnection> queue = queue(uri.getAuthority());
    if (!connection.isOpen() || queue.size() >= MAX_IDLE) {
      IoUtils.safeClose(connection);
      return;
    }
    queue.addFirst(connection);
  }

  private ClientConnection pollOpen(String origin) {
    ConcurrentLinkedDeque<ClientConnection> queue = queue(origin);
    ClientConnection candidate = queue.pollFirst();
    while (candidate != null && !candidate.isOpen()) {
      candidate = queue.pollFirst();
    }
    return candidate;
  }

  private ConcurrentLinkedDeque<ClientConnection> queue(String origin) {
    return idle.computeIfAbsent(origin, key -> new ConcurrentLinkedDeque<>());
  }
}
