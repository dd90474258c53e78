package org.hornbeamusher.standin;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Server-sent events on one exchange.
 *
 * <p>Events that come while an earlier write is under way are gathered and written together.
 */
final class EventStream {

  private final HttpServerExchange exchange;
  private final Runnable gone;

  /** Guarded by this object: events not yet handed to the connection. */
  private StringBuilder pending = new StringBuilder();

  /** Guarded by this object: a write is under way or about to be. */
  private boolean writing;

  /** Guarded by this object: nothing follows what is pending. */
  private boolean ended;

  EventStream(HttpServerExchange exchange, Runnable gone) {
    this.exchange = exchange;
    this.gone = gone;
  }

  /** Appends the payload of one event. */
  synchronized void event(String json) {
    pending.append("data: ").append(json).append("\n\n");
    schedule();
  }

  /** Ends the stream after what was appended. */
  synchronized void end() {
    ended = true;
    schedule();
  }

  private void schedule() {
    if (!writing) {
      writing = true;
      exchange.getIoThread().execute(this::write);
    }
  }

  private void write() {
    String text;
    boolean last;
    synchronized (this) {
      text = pending.toString();
      pending = new StringBuilder();
      last = ended;
      if (text.isEmpty() && !last) {
        writing = false;
        return;
      }
    }
    if (!exchange.isResponseStarted()) {
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
    }
    ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    exchange.getResponseSender().send(bytes, last ? new Last() : new Next());
  }

  private final class Next implements IoCallback {
    @Override
    public void onComplete(HttpServerExchange done, Sender sender) {
      write();
    }

    @Override
    public void onException(HttpServerExchange failed, Sender sender, IOException exception) {
      IoCallback.END_EXCHANGE.onException(failed, sender, exception);
      gone.run();
    }
  }

  private final class Last implements IoCallback {
    @Override
    public void onComplete(HttpServerExchange done, Sender sender) {
      done.endExchange();
    }

    @Override
    public void onException(HttpServerExchange failed, Sender sender, IOException exception) {
      IoCallback.END_EXCHANGE.onException(failed, sender, exception);
    }
  }
}
