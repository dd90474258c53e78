package org.hornbeamusher.http;

import io.undertow.client.UndertowClient;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.clock.MonotonicClock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.transfer.TransferTimeouts;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;

/**
 * Sends HTTP/1.1 requests over pooled connections, one exchange a connection at a time.
 *
 * <p>Undertow's client is used below its proxying layer: it brings connections and framing, and the
 * pool here decides which connection an exchange gets. An exchange that fails or is cancelled
 * closes its connection, so that the rest of its answer can never be read as another exchange's.
 */
public final class HttpClient {

  private static final int BUFFER_BYTES = 16 * 1024;

  private final int ioThreads;
  private final ConnectionPool connections = new ConnectionPool();
  private XnioWorker worker;

  /**
   * Creates a client that is not started.
   *
   * @param ioThreads how many threads carry its connections
   */
  public HttpClient(int ioThreads) {
    this.ioThreads = ioThreads;
  }

  /**
   * Returns the I/O thread of a client that has a single one.
   *
   * @return the loop on which every listener is called
   */
  public EventLoop loop() {
    return new XnioLoop(worker.getIoThread(0));
  }

  /**
   * Returns what carries the connections, so that a server may share its threads.
   *
   * @return the started worker
   */
  public XnioWorker worker() {
    return worker;
  }

  /**
   * Closes the idle connections to an origin. Called when one of them was silent: the others were
   * opened along the same way and may be dead too.
   *
   * @param uri the origin
   */
  public void purge(URI uri) {
    connections.purge(uri.getAuthority());
  }

  /** Starts the I/O threads. */
  public void start() {
    OptionMap options =
        OptionMap.builder()
            .set(Options.WORKER_IO_THREADS, ioThreads)
            .set(Options.WORKER_TASK_CORE_THREADS, 1)
            .set(Options.WORKER_TASK_MAX_THREADS, 1)
            .set(Options.THREAD_DAEMON, true)
            .set(Options.TCP_NODELAY, true)
            .getMap();
    try {
      worker = Xnio.getInstance(HttpClient.class.getClassLoader()).createWorker(options);
    } catch (IOException e) {
      throw HornbeamusherException.notRun(FailureType.INTERNAL, e).causedBy(e);
    }
    connections.start(
        UndertowClient.getInstance(), worker, new DefaultByteBufferPool(true, BUFFER_BYTES));
  }

  /** Closes every connection and ends the I/O threads. */
  public void stop() {
    connections.stop();
    if (worker != null) {
      worker.shutdownNow();
    }
  }

  /**
   * Sends a request and streams its response.
   *
   * @param call the request
   * @param listener hears the response
   * @return control over the exchange
   */
  public HttpStream stream(HttpRequest call, HttpStreamListener listener) {
    HttpExchange exchange = new HttpExchange(call, listener, connections);
    exchange.begin(Integer.MAX_VALUE);
    return exchange;
  }

  /**
   * Sends a request and streams its response, unless no connection is up in time.
   *
   * @param call the request
   * @param listener hears the response
   * @param connectMillis how long a new connection may take
   * @param mostConnections to its origin at once, idle ones included; beyond them the exchange
   *     fails with {@code CONNECTIONS_IN_USE}
   * @return control over the exchange
   */
  public HttpStream stream(
      HttpRequest call, HttpStreamListener listener, long connectMillis, int mostConnections) {
    HttpExchange exchange = new HttpExchange(call, listener, connections);
    exchange.begin(mostConnections);
    if (!exchange.hasConnection()) {
      exchange.connectTimeout(
          worker
              .getIoThread(0)
              .executeAfter(exchange::checkConnected, connectMillis, TimeUnit.MILLISECONDS));
    }
    return exchange;
  }

  /**
   * Sends a request and collects its response, which is small.
   *
   * @param call the request
   * @param timeoutMillis how long the response may take to begin, and then stall
   * @return the response; fails with {@code CONNECT_FAILED} when nothing was sent and {@code
   *     CONNECTION_CLOSED} when the request may have arrived
   */
  public CompletableFuture<HttpResponse> send(HttpRequest call, long timeoutMillis) {
    return send(call, new TransferTimeouts(timeoutMillis, timeoutMillis));
  }

  /**
   * Sends a request and collects its response, however long its size takes.
   *
   * @param call the request
   * @param limits how long it may make no progress
   * @return the response; fails with {@code CONNECT_FAILED} when nothing was sent and {@code
   *     CONNECTION_CLOSED} when the request may have arrived
   */
  public CompletableFuture<HttpResponse> send(HttpRequest call, TransferTimeouts limits) {
    CollectedReply reply = new CollectedReply(call.uri(), limits, MonotonicClock.INSTANCE);
    HttpStream stream = stream(call, reply);
    checkLater(stream, reply, call.uri());
    return reply.future();
  }

  /**
   * On the loop that carries the answer: a timer of the JDK's would wake a thread for each call.
   */
  private void checkLater(HttpStream stream, CollectedReply reply, URI uri) {
    if (reply.future().isDone()) {
      return;
    }
    XnioExecutor.Key check =
        worker
            .getIoThread(0)
            .executeAfter(
                () -> check(stream, reply, uri), reply.remainingMillis(), TimeUnit.MILLISECONDS);
    reply.future().whenComplete((whole, thrown) -> check.remove());
  }

  private void check(HttpStream stream, CollectedReply reply, URI uri) {
    if (reply.future().isDone()) {
      return;
    }
    if (reply.remainingMillis() > 0) {
      checkLater(stream, reply, uri);
      return;
    }
    stream.cancel();
    purge(uri);
    reply.timedOut();
  }
}
