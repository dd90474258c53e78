package org.hornbeamusher.server;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import org.hornbeamusher.memory.MemoryBudget;
import org.hornbeamusher.memory.MemoryReservation;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the body of a request without blocking, in memory of a {@link MemoryBudget}.
 *
 * <p>A stated length is reserved before the first byte is read, so that the body of an accepted
 * request always fits. A body without a length is reserved as it arrives. A caller that stops
 * sending loses its reservation after a timeout.
 */
public final class RequestBodyReader {

  /** Timeout for the next part of a body; callers take far less. */
  private static final long STALL_TIMEOUT_MILLIS = 10_000;

  /** A heap buffer is read through a direct buffer of its size, which the thread keeps. */
  private static final int READ_BYTES = 16 * 1024;

  /** Objects of a request beside its bytes, and of each header. */
  private static final long REQUEST_OVERHEAD_BYTES = 4 * 1024;

  private static final long HEADER_OVERHEAD_BYTES = 128;

  /** A body without a length is held twice when it is complete: in its buffer and as an array. */
  private static final int COPIES_WITHOUT_LENGTH = 2;

  private final HttpServerExchange exchange;
  private final MemoryReservation memory;
  private final Listener listener;

  /** The body; null if its length is not stated. */
  private final ByteBuffer sized;

  private final ByteArrayOutputStream unsized = new ByteArrayOutputStream();
  private final StallTimer stallTimer;
  private boolean ended;

  private RequestBodyReader(
      HttpServerExchange exchange, MemoryReservation memory, int length, Listener listener) {
    this.exchange = exchange;
    this.memory = memory;
    this.listener = listener;
    this.stallTimer = new StallTimer(exchange.getIoThread(), STALL_TIMEOUT_MILLIS, this::stalled);
    this.sized = length < 0 ? null : ByteBuffer.allocate(length);
  }

  /** Receives the body or the reason why there is none; one method is called, once. */
  public interface Listener {

    /**
     * The body is complete.
     *
     * @param body the content
     * @param memory what the request holds; the listener releases it
     */
    void received(byte[] body, MemoryReservation memory);

    /** The process has no memory for the request; nothing is held for it. */
    void memoryFull();

    /**
     * The body is longer than allowed or did not arrive; nothing is held for it.
     *
     * @param cause a {@link RequestTooBigException}, a timeout or the error of the connection
     */
    void failed(IOException cause);
  }

  /**
   * Reads the body of a request. The listener is called on the I/O thread of the connection; the
   * exchange continues after its methods return.
   *
   * @param exchange the request
   * @param budget the memory of the process
   * @param listener receives the body
   */
  public static void read(HttpServerExchange exchange, MemoryBudget budget, Listener listener) {
    long length = exchange.getRequestContentLength();
    if (length > exchange.getMaxEntitySize() && exchange.getMaxEntitySize() > 0) {
      listener.failed(new RequestTooBigException());
      return;
    }
    budget
        .tryReserve(headBytes(exchange) + Math.max(0, length))
        .ifPresentOrElse(
            memory ->
                new RequestBodyReader(exchange, memory, Math.toIntExact(length), listener).start(),
            listener::memoryFull);
  }

  private static long headBytes(HttpServerExchange exchange) {
    long bytes = REQUEST_OVERHEAD_BYTES + exchange.getRequestURI().length();
    for (var header : exchange.getRequestHeaders()) {
      for (String value : header) {
        bytes += HEADER_OVERHEAD_BYTES + value.length();
      }
    }
    return bytes;
  }

  private void start() {
    if (exchange.isRequestComplete()) {
      complete();
      return;
    }
    ConnectionCloseTask.set(exchange.getConnection(), () -> fail(new ClosedChannelException()));
    StreamSourceChannel channel = exchange.getRequestChannel();
    channel.getReadSetter().set(this::readAvailable);
    if (readAvailable(channel)) {
      stallTimer.start();
      channel.resumeReads();
    }
  }

  /** Reads what has arrived and returns whether more is to come. */
  private boolean readAvailable(StreamSourceChannel channel) {
    try {
      while (!ended) {
        int count = sized == null ? readUnsized(channel) : readSized(channel);
        if (count == 0) {
          return true;
        }
        if (count < 0) {
          channel.suspendReads();
          channel.getReadSetter().set(null);
          complete();
          return false;
        }
        stallTimer.progressed();
      }
    } catch (IOException e) {
      fail(e);
    }
    return false;
  }

  private int readSized(StreamSourceChannel channel) throws IOException {
    if (!sized.hasRemaining()) {
      return channel.read(ByteBuffer.allocate(1));
    }
    int end = sized.limit();
    sized.limit(Math.min(end, sized.position() + READ_BYTES));
    try {
      return channel.read(sized);
    } finally {
      sized.limit(end);
    }
  }

  private int readUnsized(StreamSourceChannel channel) throws IOException {
    ByteBuffer part = ByteBuffer.allocate(READ_BYTES);
    int count = channel.read(part);
    if (count > 0) {
      if (!memory.tryExtend((long) count * COPIES_WITHOUT_LENGTH)) {
        end();
        memory.release();
        listener.memoryFull();
        return 0;
      }
      unsized.write(part.array(), 0, count);
    }
    return count;
  }

  private void complete() {
    if (end()) {
      listener.received(sized == null ? unsized.toByteArray() : sized.array(), memory);
    }
  }

  private void fail(IOException cause) {
    if (end()) {
      memory.release();
      listener.failed(cause);
    }
  }

  /** Ends the read; returns whether it had not ended before. */
  private boolean end() {
    if (ended) {
      return false;
    }
    ended = true;
    ConnectionCloseTask.clear(exchange.getConnection());
    stallTimer.stop();
    return true;
  }

  private void stalled() {
    fail(new SocketTimeoutException("no part of the body within " + STALL_TIMEOUT_MILLIS + " ms"));
  }
}
