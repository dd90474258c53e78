package org.hornbeamusher.forwarding;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.http.HttpHeader;
import org.hornbeamusher.memory.MemoryReservation;
import org.hornbeamusher.server.ConnectionCloseTask;
import org.hornbeamusher.server.StallTimer;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Writes one response to a caller without blocking, and detects when the caller disconnects.
 *
 * <p>Undertow does not read from a connection while its request is being answered, so a disconnect
 * would be noticed only when the response is written, after an endpoint has worked for nothing.
 * This class therefore keeps reading from the connection, below the channel that ends with the
 * request's body, and pushes back the bytes of a pipelined request.
 */
final class CallerResponse {

  private static final long MILLIS_PER_SECOND = 1_000;

  private static final int MISDIRECTED = 421;

  /** Statuses by which a caller knows that its request did not run and never will. */
  private static final Set<Integer> NOT_RUN_STATUSES =
      Set.of(
          StatusCodes.REQUEST_TIME_OUT,
          MISDIRECTED,
          StatusCodes.TOO_MANY_REQUESTS,
          StatusCodes.SERVICE_UNAVAILABLE);

  /** Enough for the network path of any caller; more only waits in memory. */
  private static final int MAX_UNWRITTEN_BYTES = 64 * 1024;

  /** Several events; the bound while the memory of the process is scarce. */
  private static final int MAX_UNWRITTEN_BYTES_WHEN_SCARCE = 4 * 1024;

  /** The rest of a response that its caller does not read is discarded after this time. */
  private static final long UNREAD_TIMEOUT_MILLIS = 30_000;

  private final HttpServerExchange exchange;
  private final MemoryReservation memory;
  private final ArrayDeque<ByteBuffer> unwritten = new ArrayDeque<>();
  private long unwrittenBytes;

  /** Bytes that the relay holds back. */
  private long bufferedBytes;

  private Runnable disconnectTask = () -> {};
  private Runnable drainedTask = () -> {};
  private StreamSinkChannel sink;

  /** Runs while the end of the response waits for its caller. */
  private final StallTimer unreadTimer;

  private boolean ending;
  private boolean ended;

  CallerResponse(HttpServerExchange exchange, MemoryReservation memory) {
    this.exchange = exchange;
    this.memory = memory;
    this.unreadTimer = new StallTimer(exchange.getIoThread(), UNREAD_TIMEOUT_MILLIS, this::abort);
    ConnectionCloseTask.set(exchange.getConnection(), this::disconnected);
  }

  /** Runs a task, at most once, if the caller disconnects before the response is complete. */
  void onDisconnect(Runnable task) {
    disconnectTask = task;
    if (exchange.getConnection() instanceof HttpServerConnection connection) {
      StreamSourceConduit source = connection.getOriginalSourceConduit();
      connection.getChannel().getSourceChannel().setReadListener(c -> readable(connection, source));
      source.resumeReads();
    }
  }

  private void readable(HttpServerConnection connection, StreamSourceConduit source) {
    if (ended || connection.getExtraBytes() != null || read(connection, source) > 0) {
      source.suspendReads();
    }
  }

  /**
   * Returns whether the caller has already disconnected; may be called before {@link
   * #onDisconnect}. A disconnect is detected only by reading, after all bytes that the caller sent
   * before it.
   */
  boolean hasDisconnected() {
    if (exchange.getConnection() instanceof HttpServerConnection connection
        && connection.getExtraBytes() == null) {
      read(connection, connection.getOriginalSourceConduit());
    }
    return ended;
  }

  /** Reads and pushes back bytes of a pipelined request; detects a disconnect. */
  private int read(HttpServerConnection connection, StreamSourceConduit source) {
    PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
    int count = -1;
    try {
      count = source.read(pooled.getBuffer());
    } catch (IOException e) {
      // A connection reset is handled like a close.
    }
    if (count > 0) {
      pooled.getBuffer().flip();
      connection.ungetRequestBytes(pooled);
      return count;
    }
    pooled.close();
    if (count < 0) {
      IoUtils.safeClose(connection);
      disconnected();
    }
    return count;
  }

  private void disconnected() {
    if (!ended) {
      release();
      disconnectTask.run();
    }
  }

  /** Ends the response and releases everything that is held for the request. */
  private void release() {
    ended = true;
    unwritten.clear();
    unwrittenBytes = 0;
    ConnectionCloseTask.clear(exchange.getConnection());
    memory.release();
    unreadTimer.stop();
  }

  /** Runs a task after writes that leave {@link #isCongested} false. */
  void onDrained(Runnable task) {
    drainedTask = task;
  }

  /**
   * Returns whether the caller reads more slowly than the response arrives. The endpoint is then
   * not read until {@link #onDrained}, so that TCP flow control stops it.
   */
  boolean isCongested() {
    return unwrittenBytes
        > (memory.isScarce() ? MAX_UNWRITTEN_BYTES_WHEN_SCARCE : MAX_UNWRITTEN_BYTES);
  }

  /** Returns whether the memory of the process is scarce. */
  boolean isMemoryScarce() {
    return memory.isScarce();
  }

  /** Sets how many bytes of the response are held back by the relay. */
  void setBufferedBytes(long bytes) {
    bufferedBytes = bytes;
    memory.setResponseBytes(bufferedBytes + unwrittenBytes);
  }

  /** Returns whether nothing more can be written. */
  boolean ended() {
    return ended;
  }

  /** Writes the head; without a length the body is sent in chunks. */
  void head(int status, List<HttpHeader> headers, OptionalLong length) {
    exchange.setStatusCode(status);
    for (HttpHeader header : headers) {
      exchange.getResponseHeaders().add(new HttpString(header.name()), header.value());
    }
    if (length.isPresent()) {
      exchange.setResponseContentLength(length.getAsLong());
    } else if (exchange.isHttp11()) {
      // Undertow does not use chunks by itself when the connection closes after the response, and a
      // truncated response would then look complete.
      exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
    }
  }

  /** Closes the connection after this response. */
  void closeAfterResponse() {
    exchange.setPersistent(false);
    exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
  }

  /** Responds with a failure, if nothing was written before, and returns the status. */
  int refuse(HornbeamusherException failure, boolean closeConnection) {
    int status = statusOf(failure);
    byte[] body = failure.getMessage().getBytes(StandardCharsets.UTF_8);
    head(status, headersOf(failure), OptionalLong.of(body.length));
    if (closeConnection) {
      closeAfterResponse();
    }
    write(body);
    end();
    return status;
  }

  /** Returns whether a status guarantees to the caller that its request did not run. */
  static boolean guaranteesNotRun(int status) {
    return NOT_RUN_STATUSES.contains(status);
  }

  /** Uses a status that guarantees "not run" only for a request that did not run. */
  private static int statusOf(HornbeamusherException failure) {
    int status = failure.type().httpStatus();
    return guaranteesNotRun(status) && !failure.outcome().equals(Outcome.NOT_RUN)
        ? StatusCodes.BAD_GATEWAY
        : status;
  }

  private static List<HttpHeader> headersOf(HornbeamusherException failure) {
    HttpHeader type = new HttpHeader("Content-Type", "text/plain; charset=utf-8");
    if (failure.retryAfterMillis().isEmpty()) {
      return List.of(type);
    }
    String seconds = seconds(failure.retryAfterMillis().getAsLong());
    return List.of(type, new HttpHeader("Retry-After", seconds));
  }

  /** Formats milliseconds as seconds with three decimals. */
  static String seconds(long millis) {
    String rest = Long.toString(MILLIS_PER_SECOND + millis % MILLIS_PER_SECOND);
    return millis / MILLIS_PER_SECOND + "." + rest.substring(1);
  }

  /** Writes a part of the body. */
  void write(byte[] bytes) {
    if (ended || bytes.length == 0) {
      return;
    }
    unwritten.add(ByteBuffer.wrap(bytes));
    unwrittenBytes += bytes.length;
    flush();
  }

  /** Ends a complete response. */
  void end() {
    if (!ended) {
      ending = true;
      flush();
    }
    if (!ended) {
      unreadTimer.start();
    }
  }

  /** Closes the connection, so that a partial response cannot be taken for a complete one. */
  void abort() {
    release();
    IoUtils.safeClose(exchange.getConnection());
  }

  private void flush() {
    try {
      if (sink == null) {
        sink = exchange.getResponseChannel();
        sink.getWriteSetter().set(channel -> flush());
      }
      if (!writeAll()) {
        sink.resumeWrites();
      } else if (ending) {
        finish();
      } else if (!sink.flush()) {
        sink.resumeWrites();
      } else {
        sink.suspendWrites();
      }
    } catch (IOException e) {
      // The caller's connection is broken.
      IoUtils.safeClose(exchange.getConnection());
      disconnected();
    }
  }

  /** Writes until the caller's connection accepts no more; returns whether all is written. */
  private boolean writeAll() throws IOException {
    boolean accepted = true;
    while (accepted && !unwritten.isEmpty()) {
      ByteBuffer first = unwritten.peek();
      int count = first.hasRemaining() ? sink.write(first) : 0;
      unwrittenBytes -= count;
      accepted = count > 0 || !first.hasRemaining();
      if (!first.hasRemaining()) {
        unwritten.poll();
      }
    }
    if (ending) {
      unreadTimer.progressed();
    }
    memory.setResponseBytes(bufferedBytes + unwrittenBytes);
    if (!isCongested()) {
      drainedTask.run();
    }
    return unwritten.isEmpty();
  }

  private void finish() throws IOException {
    release();
    sink.suspendWrites();
    sink.getWriteSetter().set(null);
    exchange.endExchange();
  }
}
