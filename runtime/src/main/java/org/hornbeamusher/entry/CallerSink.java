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
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes an answer to its caller from the request's virtual thread.
 *
 * <p>Undertow's blocking streams wait in a selector, which holds a platform thread for each caller
 * that reads slowly. Here the thread waits for the channel's listener instead, and a caller that
 * takes nothing for a while is given up.
 */
final class CallerSink {

  private final HttpServerExchange exchange;
  private final long stalledMillis;
  private StreamSinkChannel channel;

  /** Set once the connection is closed, by whichever end. */
  private volatile boolean closed;

  /** Completed when the channel takes bytes again, or the connection is closed. */
  private volatile CompletableFuture<Void> writable = new CompletableFuture<>();

  CallerSink(HttpServerExchange exchange, long stalledMillis) {
    this.exchange = exchange;
    this.stalledMillis = stalledMillis;
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
      throw gone(e);
    }
  }

  /** Ends the answer properly. */
  void end() {
    try {
      open();
      channel.shutdownWrites();
      flush();
      exchange.endExchange();
    } catch (IOException e) {
      throw gone(e);
    }
  }

  /** Closes the connection, so that a part of an answer cannot pass for the whole. */
  void abort() {
    IoUtils.safeClose(exchange.getConnection());
  }

  private void open() {
    if (channel == null) {
      channel = exchange.getResponseChannel();
      exchange.getConnection().addCloseListener(connection -> connectionClosed());
    }
  }

  /**
   * A channel whose connection broke calls no write listener any more. Without this the request
   * would wait out the whole stall limit and its endpoint would generate for nobody meanwhile.
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
      throw gone(new ClosedChannelException());
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
      writable.get(stalledMillis, TimeUnit.MILLISECONDS);
      if (closed) {
        throw gone(new ClosedChannelException());
      }
    } catch (TimeoutException e) {
      abort();
      throw HornbeamusherException.of(FailureType.SLOW_CALLER, Outcome.UNKNOWN).causedBy(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw gone(e);
    } catch (ExecutionException e) {
      throw gone(e);
    }
  }

  private HornbeamusherException gone(Exception e) {
    abort();
    return HornbeamusherException.of(FailureType.CALLER_GONE, Outcome.UNKNOWN).causedBy(e);
  }
}
