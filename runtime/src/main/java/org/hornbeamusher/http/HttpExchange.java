package org.hornbeamusher.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.hornbeamusher.clock.MonotonicClock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** One request and its response on one connection. */
final class HttpExchange implements HttpStream {

  private static final int READ_BYTES = 16 * 1024;

  /** Colon, space and line end. */
  private static final int HEADER_SEPARATOR_BYTES = 4;

  /** After this time without a pause other connections of the I/O thread get their turn. */
  private static final long MAX_TURN_MILLIS = 5;

  private static final long NEXT_TURN_MILLIS = 1;

  /**
   * One buffer per I/O thread. Most reads return an event of a few bytes, and a new buffer for each
   * read was two fifths of all allocations of the process. The bytes are copied before the listener
   * is called, so that a nested read on the same thread cannot overwrite them.
   */
  private static final ThreadLocal<ByteBuffer> READ_BUFFER =
      ThreadLocal.withInitial(() -> ByteBuffer.allocate(READ_BYTES));

  private final HttpRequest call;
  private final HttpStreamListener listener;
  private final ConnectionPool connections;
  private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.CONNECTING);
  private volatile Optional<EchoedId> id = Optional.empty();
  private volatile ClientConnection connection;

  /** The state of the connection; null if it was closed before it was used. */
  private volatile OpenConnection state;

  private volatile XnioExecutor.Key connectTimer;

  /** Null until the exchange has a connection or begins to open one. */
  private volatile Runnable stopConnecting;

  private volatile StreamSourceChannel source;
  private volatile boolean paused;

  /** For how long the connection may be reused after the response is complete. */
  private volatile long usableMillis;

  /** Whether the library takes another request: this one was written completely in one turn. */
  private volatile boolean connectionReusable;

  /** Whether the request was written completely, in any number of turns. */
  private boolean requestWritten;

  /** Whether the input of the connection has ended, and the response with it. */
  private boolean inputEnded;

  HttpExchange(HttpRequest call, HttpStreamListener listener, ConnectionPool connections) {
    this.call = call;
    this.listener = listener;
    this.connections = connections;
  }

  void begin(ConnectionOptions options) {
    id = options.id();
    Runnable stopOpening =
        connections.acquire(call.uri(), options, callback(this::connected, this::connectFailed));
    stopConnecting = stopOpening;
    if (hasEnded()) {
      stopOpening.run();
    }
  }

  /** Fails the exchange if its connection is not open yet; an unreachable peer never responds. */
  void checkConnectTimeout() {
    connectFailed(new SocketTimeoutException("connect timed out"));
    stopConnecting();
  }

  boolean hasConnection() {
    return connection != null;
  }

  /**
   * Sets the timer of {@link #checkConnectTimeout}, which is removed once the connection is open.
   */
  void setConnectTimer(XnioExecutor.Key timer) {
    connectTimer = timer;
    if (connection != null) {
      timer.remove();
    }
  }

  @Override
  public void cancel() {
    if (end()) {
      closeConnection();
      stopConnecting();
    }
  }

  /** Does nothing once the connection is open. */
  private void stopConnecting() {
    Runnable stop = stopConnecting;
    if (stop != null && connection == null) {
      stop.run();
    }
  }

  @Override
  public void pause() {
    paused = true;
  }

  @Override
  public void resume() {
    paused = false;
    StreamSourceChannel channel = source;
    if (channel != null) {
      connection.getIoThread().execute(() -> resumeReads(channel));
    }
  }

  @Override
  public int skippedResponses() {
    OpenConnection current = state;
    return current == null ? 0 : current.skippedResponses();
  }

  private void connected(ClientConnection opened) {
    state = connections.state(opened);
    connection = opened;
    XnioExecutor.Key timer = connectTimer;
    if (timer != null) {
      timer.remove();
    }
    if (!phase.compareAndSet(Phase.CONNECTING, Phase.CONNECTED)) {
      IoUtils.safeClose(opened);
      return;
    }
    opened.getIoThread().execute(() -> send(opened));
  }

  private void send(ClientConnection opened) {
    if (!hasEnded()) {
      listener.connected(state == null ? ConnectionUse.NONE : state.requestSent(call.method(), id));
    }
    if (!hasEnded() && listener.shouldSend()) {
      opened.sendRequest(request(), callback(this::sendBody, this::fail));
      return;
    }
    IoUtils.safeClose(opened);
    if (end()) {
      listener.failed(
          HornbeamusherException.notRun(FailureType.SEND_WITHDRAWN, call.uri().getAuthority()));
    }
  }

  private ClientRequest request() {
    ClientRequest request =
        new ClientRequest()
            .setMethod(new HttpString(call.method()))
            .setProtocol(Protocols.HTTP_1_1)
            .setPath(call.target());
    HeaderMap headers = request.getRequestHeaders();
    for (HttpHeader header : call.headers()) {
      headers.add(new HttpString(header.name()), header.value());
    }
    headers.put(Headers.HOST, call.host());
    headers.put(Headers.CONTENT_LENGTH, call.body().length);
    return request;
  }

  private void sendBody(ClientExchange exchange) {
    exchange.setResponseListener(callback(this::head, this::fail));
    StreamSinkChannel sink = exchange.getRequestChannel();
    ByteBuffer body = ByteBuffer.wrap(call.body());
    try {
      if (writeAll(sink, body)) {
        sink.shutdownWrites();
        requestWritten = sink.flush();
        connectionReusable = requestWritten;
      }
      if (!requestWritten) {
        sink.getWriteSetter().set(channel -> continueBody(channel, body));
        sink.resumeWrites();
      }
    } catch (IOException e) {
      fail(e);
    }
  }

  /**
   * Writes the rest of a body that did not fit at once. With the last byte the library may have
   * returned the connection's output; a shutdown would then end it, which the peer takes for a
   * caller that has gone. Without one the library does not take another request, so the connection
   * is not reused.
   */
  private void continueBody(StreamSinkChannel sink, ByteBuffer body) {
    try {
      if (writeAll(sink, body) && sink.flush()) {
        sink.suspendWrites();
        requestWritten = true;
        if (inputEnded) {
          finish();
        }
      }
    } catch (IOException e) {
      fail(e);
    }
  }

  /** Writes until the connection accepts no more; returns whether the body is written. */
  private boolean writeAll(StreamSinkChannel sink, ByteBuffer body) throws IOException {
    while (body.hasRemaining()) {
      if (sink.write(body) == 0) {
        return false;
      }
      listener.requestPartSent();
    }
    return true;
  }

  private void head(ClientExchange exchange) {
    if (hasEnded()) {
      return;
    }
    HttpHead head = headOf(exchange);
    OpenConnection current = state;
    if (current != null) {
      current.limit().headReceived(sizeOf(head));
    }
    source = exchange.getResponseChannel();
    usableMillis = KeepAlive.usableMillis(head);
    listener.head(head);
    source.getReadSetter().set(this::read);
    read(source);
    if (!hasEnded() && !inputEnded) {
      source.resumeReads();
    }
  }

  private void read(StreamSourceChannel channel) {
    try {
      ByteBuffer buffer = READ_BUFFER.get();
      long turnEndMillis = MonotonicClock.INSTANCE.millis() + MAX_TURN_MILLIS;
      while (!hasEnded()) {
        if (paused) {
          channel.suspendReads();
          return;
        }
        if (MonotonicClock.INSTANCE.millis() > turnEndMillis) {
          readLater(channel);
          return;
        }
        buffer.clear();
        int count = channel.read(buffer);
        if (count == 0) {
          noData();
          return;
        }
        if (count < 0) {
          endOfInput();
          return;
        }
        progressed();
        byte[] bytes = new byte[count];
        buffer.flip().get(bytes);
        listener.data(bytes);
      }
    } catch (IOException e) {
      fail(e);
    }
  }

  /** A peer that sends as fast as this reads would otherwise occupy the I/O thread. */
  private void readLater(StreamSourceChannel channel) {
    channel.suspendReads();
    try {
      connection
          .getIoThread()
          .executeAfter(() -> resumeReads(channel), NEXT_TURN_MILLIS, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      // The client is being stopped.
      fail(new IOException(e));
    }
  }

  private void resumeReads(StreamSourceChannel channel) {
    if (!hasEnded() && !paused && !inputEnded) {
      channel.wakeupReads();
    }
  }

  private void noData() throws IOException {
    OpenConnection current = state;
    if (current != null) {
      current.limit().noData();
    }
  }

  private void progressed() {
    OpenConnection current = state;
    if (current != null) {
      current.limit().progressed();
    }
  }

  /**
   * Ends the exchange, unless the response ends with the connection and the request is still being
   * written. A peer that has responded early may read the rest, or reset the connection behind the
   * end of its output, so that its response is not complete. Only the next writes show which.
   */
  private void endOfInput() {
    OpenConnection current = state;
    inputEnded = current != null && current.responseEndsWithConnection();
    if (requestWritten || !inputEnded) {
      finish();
    } else {
      source.suspendReads();
    }
  }

  /**
   * Ends the exchange after a turn of the event loop. Until then the client library has closed the
   * connection if more than the response has arrived on it.
   */
  private void finish() {
    if (!end()) {
      return;
    }
    try {
      connection.getIoThread().execute(this::finished);
    } catch (RejectedExecutionException e) {
      // The client is being stopped and its threads accept no more tasks.
      finished();
    }
  }

  private void finished() {
    OpenConnection current = state;
    if (current != null) {
      current.limit().responseEnded();
    }
    releaseConnection();
    listener.end();
  }

  /**
   * Returns the connection to the pool if the request was written completely and the listener
   * allows it, or else closes it. A peer may respond before it has read the whole request and keep
   * the connection open. It then expects the rest of that request, so the connection cannot be used
   * for another one.
   */
  private void releaseConnection() {
    if (connectionReusable && listener.mayReuseConnection()) {
      connections.release(call.uri(), connection, usableMillis);
    } else {
      closeConnection();
    }
  }

  private boolean hasEnded() {
    return phase.get() == Phase.ENDED;
  }

  /** Ends the exchange; returns whether it had not ended before. */
  private boolean end() {
    return phase.getAndSet(Phase.ENDED) != Phase.ENDED;
  }

  private void connectFailed(IOException e) {
    if (phase.compareAndSet(Phase.CONNECTING, Phase.ENDED)) {
      FailureType type =
          e instanceof ConnectionLimitException
              ? FailureType.CONNECTIONS_IN_USE
              : FailureType.CONNECT_FAILED;
      listener.failed(
          HornbeamusherException.notRun(type, call.uri().getAuthority(), e.getMessage())
              .causedBy(e));
    }
  }

  private void fail(IOException e) {
    if (end()) {
      closeConnection();
      listener.failed(failure(e));
    }
  }

  /** A response that this client rejects is not the end of the connection by the peer. */
  private HornbeamusherException failure(IOException e) {
    String server = call.uri().getAuthority();
    OpenConnection current = state;
    if (current == null) {
      return unknown(FailureType.CONNECTION_CLOSED, server).causedBy(e);
    }
    if (current.hasExceededLimit()) {
      return unknown(FailureType.RESPONSE_UNBOUNDED, server).causedBy(e);
    }
    if (current.isOutOfStep()) {
      return unknown(FailureType.FOREIGN_ANSWER, server).causedBy(e);
    }
    return current
        .fault()
        .map(fault -> malformed(server, fault))
        .orElseGet(() -> unknown(FailureType.CONNECTION_CLOSED, server).causedBy(e));
  }

  private static HornbeamusherException malformed(String server, ResponseFault fault) {
    return unknown(FailureType.RESPONSE_MALFORMED, server, fault.text())
        .causedBy(new MalformedResponseException(fault));
  }

  private static HornbeamusherException unknown(FailureType type, Object... arguments) {
    return HornbeamusherException.of(type, Outcome.UNKNOWN, arguments);
  }

  private void closeConnection() {
    ClientConnection open = connection;
    if (open == null) {
      return;
    }
    try {
      open.getIoThread().execute(() -> closeNow(open));
    } catch (RejectedExecutionException e) {
      // The client is being stopped and its threads accept no more tasks. Without this catch the
      // connection would stay open, and the exception would reach the thread that stops the client.
      closeNow(open);
    }
  }

  /**
   * Closes a connection in the middle of an exchange. The close of Undertow's client connection
   * waits up to 10 s for the response, while the endpoint works on a cancelled request. After an
   * upgrade the HTTP client no longer owns the connection, and its close takes effect at once.
   */
  private static void closeNow(ClientConnection open) {
    try {
      IoUtils.safeClose(open.performUpgrade());
    } catch (IOException e) {
      // The connection is closed already or is being closed.
      IoUtils.safeClose(open);
    }
  }

  private static HttpHead headOf(ClientExchange exchange) {
    List<HttpHeader> headers = new ArrayList<>();
    for (HeaderValues values : exchange.getResponse().getResponseHeaders()) {
      String name = values.getHeaderName().toString();
      values.forEach(value -> headers.add(new HttpHeader(name, value)));
    }
    return new HttpHead(exchange.getResponse().getResponseCode(), headers);
  }

  private static long sizeOf(HttpHead head) {
    long size = 0;
    for (HttpHeader header : head.headers()) {
      size += header.name().length() + header.value().length() + HEADER_SEPARATOR_BYTES;
    }
    return size;
  }

  /**
   * The connect timeout and the connection may be handled by different threads. The timeout ends an
   * exchange only while it is connecting, so that one that is reported as not sent is never sent.
   */
  private enum Phase {
    CONNECTING,
    CONNECTED,
    ENDED
  }

  private interface Handler<T> {
    void accept(T value);
  }

  private static <T> ClientCallback<T> callback(Handler<T> completed, Handler<IOException> failed) {
    return new ClientCallback<>() {
      @Override
      public void completed(T result) {
        completed.accept(result);
      }

      @Override
      public void failed(IOException e) {
        failed.accept(e);
      }
    };
  }
}
