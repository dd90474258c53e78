package org.hornbeamusher.standin;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Writes server-sent events to one exchange.
 *
 * <p>Events that arrive during a write are buffered and written together afterwards.
 */
final class EventStream {

  private final HttpServerExchange exchange;
  private final Runnable onConnectionLost;

  /** Events not yet passed to the connection. Guarded by this object. */
  private StringBuilder pending = new StringBuilder();

  /** Whether a write is in progress or scheduled. Guarded by this object. */
  private boolean writing;

  /** Whether no event follows the pending ones. Guarded by this object. */
  private boolean ended;

  EventStream(HttpServerExchange exchange, Runnable onConnectionLost) {
    this.exchange = exchange;
    this.onConnectionLost = onConnectionLost;
  }

  /** Appends an event with the given payload. */
  synchronized void event(String json) {
    pending.append("data: ").append(json).append("\n\n");
    schedule();
  }

  /** Ends the response after the pending events. */
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
    exchange.getResponseSender().send(bytes, last ? new EndCallback() : new ContinueCallback());
  }

  private final class ContinueCallback implements IoCallback {
    @Override
    public void onComplete(HttpServerExchange done, Sender sender) {
      write();
    }

    @Override
    public void onException(HttpServerExchange failed, Sender sender, IOException exception) {
      IoCallback.END_EXCHANGE.onException(failed, sender, exception);
      onConnectionLost.run();
    }
  }

  private final class EndCallback implements IoCallback {
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
