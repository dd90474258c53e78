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
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Writes one answer to a caller without ever blocking, and hears when the caller goes.
 *
 * <p>While a request is answered nothing reads from its connection, so that its close would be
 * noticed only when the answer is written, after an endpoint has worked for nobody. The connection
 * is therefore read on, below the channel that ends with the request's body; what comes early of a
 * next request is put back.
 */
final class CallerAnswer {

  private static final long MILLIS_PER_SECOND = 1_000;

  private static final int MISDIRECTED = 421;

  /** Statuses that tell a caller that its request did not run and never will. */
  private static final Set<Integer> PROMISES =
      Set.of(
          StatusCodes.REQUEST_TIME_OUT,
          MISDIRECTED,
          StatusCodes.TOO_MANY_REQUESTS,
          StatusCodes.SERVICE_UNAVAILABLE);

  private final HttpServerExchange exchange;
  private final ArrayDeque<ByteBuffer> unwritten = new ArrayDeque<>();
  private Runnable gone = () -> {};
  private StreamSinkChannel sink;
  private boolean ending;
  private boolean ended;

  CallerAnswer(HttpServerExchange exchange) {
    this.exchange = exchange;
  }

  /** Calls a task, once at most, when the caller has gone before the answer was whole. */
  void onGone(Runnable task) {
    gone = task;
    exchange.getConnection().addCloseListener(connection -> closed());
    if (exchange.getConnection() instanceof HttpServerConnection connection) {
      StreamSourceConduit source = connection.getOriginalSourceConduit();
      connection.getChannel().getSourceChannel().setReadListener(c -> watch(connection, source));
      source.resumeReads();
    }
  }

  private void watch(HttpServerConnection connection, StreamSourceConduit source) {
    if (ended || connection.getExtraBytes() != null || read(connection, source) > 0) {
      source.suspendReads();
    }
  }

  /**
   * Tells whether the caller has closed its connection already, also before any {@link #onGone}.
   * What a caller wrote waits here for as long as nobody reads it, and its close behind it.
   */
  boolean goneAlready() {
    if (exchange.getConnection() instanceof HttpServerConnection connection
        && connection.getExtraBytes() == null) {
      read(connection, connection.getOriginalSourceConduit());
    }
    return ended;
  }

  /** Reads what comes early of a next request, and puts it back; notices a close. */
  private int read(HttpServerConnection connection, StreamSourceConduit source) {
    PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
    int count = -1;
    try {
      count = source.read(pooled.getBuffer());
    } catch (IOException e) {
      // A reset: the caller is as gone as after a close.
    }
    if (count > 0) {
      pooled.getBuffer().flip();
      connection.ungetRequestBytes(pooled);
      return count;
    }
    pooled.close();
    if (count < 0) {
      IoUtils.safeClose(connection);
      closed();
    }
    return count;
  }

  private void closed() {
    if (!ended) {
      ended = true;
      unwritten.clear();
      gone.run();
    }
  }

  /** Tells whether nothing more can be written. */
  boolean ended() {
    return ended;
  }

  /** Writes the head; without a length the answer is written in chunks. */
  void head(int status, List<HttpHeader> headers, OptionalLong length) {
    exchange.setStatusCode(status);
    for (HttpHeader header : headers) {
      exchange.getResponseHeaders().add(new HttpString(header.name()), header.value());
    }
    if (length.isPresent()) {
      exchange.setResponseContentLength(length.getAsLong());
    } else if (exchange.isHttp11()) {
      // The server writes no chunks by itself where the connection ends with the answer, and a cut
      // answer would look whole.
      exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
    }
  }

  /** Makes this the last answer of its connection. */
  void closeAfter() {
    exchange.setPersistent(false);
    exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
  }

  /** Ends a request of which nothing was written with a failure, and returns its status. */
  int refuse(HornbeamusherException failure, boolean closeAfter) {
    int status = statusOf(failure);
    byte[] body = failure.getMessage().getBytes(StandardCharsets.UTF_8);
    head(status, headersOf(failure), OptionalLong.of(body.length));
    if (closeAfter) {
      closeAfter();
    }
    write(body);
    end();
    return status;
  }

  /** Tells whether a caller takes a status as the promise that its request did not run. */
  static boolean promisesNotRun(int status) {
    return PROMISES.contains(status);
  }

  /** Only a request that was not run may be answered with a status that says so. */
  private static int statusOf(HornbeamusherException failure) {
    int status = failure.type().httpStatus();
    return promisesNotRun(status) && !failure.outcome().equals(Outcome.NOT_RUN)
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

  /** Writes milliseconds as seconds with three decimals. */
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
    flush();
  }

  /** Ends a whole answer. */
  void end() {
    if (!ended) {
      ending = true;
      flush();
    }
  }

  /** Cuts the connection, so that what was written cannot be taken for a whole answer. */
  void abort() {
    ended = true;
    unwritten.clear();
    IoUtils.safeClose(exchange.getConnection());
  }

  private void flush() {
    try {
      if (sink == null) {
        sink = exchange.getResponseChannel();
        sink.getWriteSetter().set(channel -> flush());
      }
      while (!unwritten.isEmpty()) {
        ByteBuffer first = unwritten.peek();
        if (first.hasRemaining() && sink.write(first) == 0) {
          sink.resumeWrites();
          return;
        }
        if (!first.hasRemaining()) {
          unwritten.poll();
        }
      }
      if (ending) {
        finish();
      } else if (!sink.flush()) {
        sink.resumeWrites();
      } else {
        sink.suspendWrites();
      }
    } catch (IOException e) {
      // The caller's connection is broken.
      IoUtils.safeClose(exchange.getConnection());
      closed();
    }
  }

  private void finish() throws IOException {
    ended = true;
    sink.suspendWrites();
    sink.getWriteSetter().set(null);
    exchange.endExchange();
  }
}
