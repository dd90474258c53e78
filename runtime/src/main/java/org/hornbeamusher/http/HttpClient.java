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
 * Sends HTTP/1.1 requests over pooled connections, with one exchange per connection at a time.
 *
 * <p>Undertow's client is used without its proxy layer: it provides connections and framing, and
 * {@link ConnectionPool} selects the connection of an exchange. An exchange that fails or is
 * cancelled closes its connection, so that the rest of its response can never be read as the
 * response of another exchange.
 */
public final class HttpClient {

  private static final int BUFFER_BYTES = 16 * 1024;

  /** More than any status, report or result of an order. */
  private static final int MAX_SMALL_BODY_BYTES = 1024 * 1024;

  /** More than any page of a table. */
  private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

  private final int ioThreads;
  private final FramingBudget framingBudget;
  private final ConnectionPool connections;
  private XnioWorker worker;

  /**
   * Creates a client that is not started.
   *
   * @param ioThreads the number of I/O threads
   */
  public HttpClient(int ioThreads) {
    this(ioThreads, FramingBudget.ofHeap());
  }

  HttpClient(int ioThreads, FramingBudget framingBudget) {
    this.ioThreads = ioThreads;
    this.framingBudget = framingBudget;
    this.connections = new ConnectionPool(framingBudget);
  }

  /** Returns what the connections hold together, each beyond its minimum. */
  long framingBytes() {
    return framingBudget.usedBytes();
  }

  /**
   * Returns the I/O thread of a client with a single one as an event loop.
   *
   * @return the loop on which every listener is called
   */
  public EventLoop loop() {
    return new XnioEventLoop(worker.getIoThread(0));
  }

  /**
   * Returns the worker with the I/O threads, so that a server can share them.
   *
   * @return the started worker
   */
  public XnioWorker worker() {
    return worker;
  }

  /**
   * Closes the idle connections to an origin. Called when a connection to it timed out: the others
   * use the same network path and may be dead too.
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

  /** Closes every connection and stops the I/O threads. */
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
   * @param listener receives the response
   * @return controls the exchange
   */
  public HttpStream stream(HttpRequest call, HttpStreamListener listener) {
    return stream(call, listener, ConnectionOptions.ANY);
  }

  /**
   * Sends a request and streams its response.
   *
   * @param call the request
   * @param listener receives the response
   * @param options how it gets its connection
   * @return controls the exchange
   */
  public HttpStream stream(
      HttpRequest call, HttpStreamListener listener, ConnectionOptions options) {
    HttpExchange exchange = new HttpExchange(call, listener, connections);
    exchange.begin(options);
    if (!exchange.hasConnection() && options.connectMillis() != ConnectionOptions.NO_TIMEOUT) {
      exchange.setConnectTimer(
          worker
              .getIoThread(0)
              .executeAfter(
                  exchange::checkConnectTimeout, options.connectMillis(), TimeUnit.MILLISECONDS));
    }
    return exchange;
  }

  /**
   * Sends a request and collects its response of at most 1 MB, with one timeout for its start and
   * for stalls.
   *
   * @param call the request
   * @param timeoutMillis the timeout for the start of the response, and for each later stall
   * @return the response; fails with {@code CONNECT_FAILED} when nothing was sent, {@code
   *     RESPONSE_MALFORMED} when the response cannot be read, and {@code CONNECTION_CLOSED} when
   *     the request may have arrived otherwise
   */
  public CompletableFuture<HttpResponse> send(HttpRequest call, long timeoutMillis) {
    return send(call, new TransferTimeouts(timeoutMillis, timeoutMillis), MAX_SMALL_BODY_BYTES);
  }

  /**
   * Sends a request and collects its response of at most 8 MB. The total time is not limited, so
   * that a large response may take as long as its size requires.
   *
   * @param call the request
   * @param limits the timeouts for the start of the response and for a stall
   * @return the response; fails with {@code CONNECT_FAILED} when nothing was sent, {@code
   *     RESPONSE_MALFORMED} when the response cannot be read, and {@code CONNECTION_CLOSED} when
   *     the request may have arrived otherwise
   */
  public CompletableFuture<HttpResponse> send(HttpRequest call, TransferTimeouts limits) {
    return send(call, limits, MAX_BODY_BYTES);
  }

  private CompletableFuture<HttpResponse> send(
      HttpRequest call, TransferTimeouts limits, int maxBodyBytes) {
    return send(call, limits, maxBodyBytes, ConnectionOptions.ANY);
  }

  private CompletableFuture<HttpResponse> send(
      HttpRequest call, TransferTimeouts limits, int maxBodyBytes, ConnectionOptions options) {
    ResponseCollector collector =
        new ResponseCollector(
            call.uri(), limits, maxBodyBytes, options.reuse(), MonotonicClock.INSTANCE);
    HttpStream stream = stream(call, collector, options);
    scheduleProgressCheck(stream, collector, call.uri());
    collector.future().exceptionally(failure -> cancel(stream));
    return collector.future();
  }

  /**
   * Sends a request over a connection that carries no other one, and collects its response of at
   * most 1 MB. Every response on that connection belongs to this request, also if the server sends
   * copies of responses that do not say which request they answer.
   *
   * @param call the request
   * @param timeoutMillis the timeout for the connection and the start of the response, and for each
   *     later stall
   * @return the response; fails with {@code CONNECT_FAILED} when nothing was sent, {@code
   *     RESPONSE_MALFORMED} when the response cannot be read, and {@code CONNECTION_CLOSED} when
   *     the request may have arrived otherwise
   */
  public CompletableFuture<HttpResponse> sendOnOwnConnection(HttpRequest call, long timeoutMillis) {
    return send(
        call,
        new TransferTimeouts(timeoutMillis, timeoutMillis),
        MAX_SMALL_BODY_BYTES,
        ConnectionOptions.NEW);
  }

  private static HttpResponse cancel(HttpStream stream) {
    stream.cancel();
    return null;
  }

  /**
   * Schedules a check on an I/O thread; a timer of the JDK would wake another thread for each
   * request.
   */
  private void scheduleProgressCheck(HttpStream stream, ResponseCollector collector, URI uri) {
    if (collector.future().isDone()) {
      return;
    }
    XnioExecutor.Key check =
        worker
            .getIoThread(0)
            .executeAfter(
                () -> checkProgress(stream, collector, uri),
                collector.remainingMillis(),
                TimeUnit.MILLISECONDS);
    collector.future().whenComplete((response, thrown) -> check.remove());
  }

  private void checkProgress(HttpStream stream, ResponseCollector collector, URI uri) {
    if (collector.future().isDone()) {
      return;
    }
    if (collector.remainingMillis() > 0) {
      scheduleProgressCheck(stream, collector, uri);
      return;
    }
    stream.cancel();
    purge(uri);
    collector.timedOut();
  }
}
