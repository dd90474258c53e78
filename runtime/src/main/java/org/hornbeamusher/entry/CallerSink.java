package org.hornbeamusher.entry;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.server.ConnectionCloseTask;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes a response to its caller from the request's virtual thread.
 *
 * <p>Undertow's blocking streams wait in a selector, which blocks a platform thread for each slow
 * reader. Here the virtual thread waits for the channel's listener instead, and the connection of a
 * caller that reads nothing within the stall timeout is closed.
 */
final class CallerSink {

  private final HttpServerExchange exchange;
  private final long stallTimeoutMillis;
  private StreamSinkChannel channel;

  /** Set once the connection is closed by either side. */
  private volatile boolean closed;

  /** Completed when the channel is writable again or the connection is closed. */
  private volatile CompletableFuture<Void> writable = new CompletableFuture<>();

  CallerSink(HttpServerExchange exchange, long stallTimeoutMillis) {
    this.exchange = exchange;
    this.stallTimeoutMillis = stallTimeoutMillis;
  }

  /** Writes bytes and returns once they are handed to the network. */
  void write(byte[] bytes) {
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    try {
      open();
      while (buffer.hasRemaining()) {
        if (channel.write(buffer) == 0) {
          awaitWritable();
        }
      }
      flush();
    } catch (IOException e) {
      throw callerGone(e);
    }
  }

  /** Completes the response. */
  void end() {
    try {
      open();
      channel.shutdownWrites();
      flush();
      ConnectionCloseTask.clear(exchange.getConnection());
      exchange.endExchange();
    } catch (IOException e) {
      throw callerGone(e);
    }
  }

  /** Closes the connection, so that a truncated response cannot be mistaken for a complete one. */
  void abort() {
    IoUtils.safeClose(exchange.getConnection());
  }

  private void open() {
    if (channel == null) {
      channel = exchange.getResponseChannel();
      ConnectionCloseTask.set(exchange.getConnection(), this::connectionClosed);
    }
  }

  /**
   * Wakes a waiting write. A channel no longer calls its write listener once its connection is
   * lost; without this the request would wait for the full stall timeout, and its endpoint would
   * meanwhile generate a response that nobody reads.
   */
  private void connectionClosed() {
    closed = true;
    writable.complete(null);
  }

  private void flush() throws IOException {
    while (!channel.flush()) {
      awaitWritable();
    }
  }

  private void awaitWritable() {
    writable = new CompletableFuture<>();
    if (closed) {
      throw callerGone(new ClosedChannelException());
    }
    channel
        .getWriteSetter()
        .set(
            ready -> {
              ready.suspendWrites();
              writable.complete(null);
            });
    channel.resumeWrites();
    try {
      writable.get(stallTimeoutMillis, TimeUnit.MILLISECONDS);
      if (closed) {
        throw callerGone(new ClosedChannelException());
      }
    } catch (TimeoutException e) {
      abort();
      throw HornbeamusherException.of(FailureType.SLOW_CALLER, Outcome.UNKNOWN).causedBy(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw callerGone(e);
    } catch (ExecutionException e) {
      throw callerGone(e);
    }
  }

  private HornbeamusherException callerGone(Exception e) {
    abort();
    return HornbeamusherException.of(FailureType.CALLER_GONE, Outcome.UNKNOWN).causedBy(e);
  }
}
