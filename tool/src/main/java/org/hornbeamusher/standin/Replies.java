package org.hornbeamusher.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.xnio.IoUtils;

/** Reading of requests and writing of JSON answers, common to all stand-ins. */
final class Replies {

  private static final ObjectMapper JSON =
      new ObjectMapper()
          .setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private Replies() {}

  /** Reads a whole body and hands it on; the exchange stays open until it is answered. */
  static void readBody(HttpServerExchange exchange, Consumer<byte[]> next) {
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (received, body) ->
                received.dispatch(SameThreadExecutor.INSTANCE, () -> next.accept(body)));
  }

  /** Reads a JSON body; answers 400 itself when it has another form. */
  static <T> void readJson(HttpServerExchange exchange, Class<T> form, Consumer<T> next) {
    readBody(
        exchange,
        body -> {
          T value;
          try {
            value = JSON.readValue(body.length == 0 ? new byte[] {'{', '}'} : body, form);
          } catch (IOException e) {
            error(exchange, 400, "malformed-request");
            return;
          }
          next.accept(value);
        });
  }

  /** Answers with a value as JSON; may be called by any thread once the exchange is dispatched. */
  static void json(HttpServerExchange exchange, int status, Object value) {
    bytes(exchange, status, "application/json", encode(value));
  }

  /** Answers {@code {"error":{"type":"..."}}}. */
  static void error(HttpServerExchange exchange, int status, String type) {
    json(exchange, status, new ErrorBody(new ErrorType(type)));
  }

  static void bytes(HttpServerExchange exchange, int status, String contentType, byte[] body) {
    onIoThread(
        exchange,
        () -> {
          exchange.setStatusCode(status);
          exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
          exchange.getResponseSender().send(ByteBuffer.wrap(body));
        });
  }

  /** Closes the connection in the middle of whatever it was doing. */
  static void cut(HttpServerExchange exchange) {
    onIoThread(exchange, () -> IoUtils.safeClose(exchange.getConnection()));
  }

  /** Runs on the one thread that may touch the exchange's connection. */
  static void onIoThread(HttpServerExchange exchange, Runnable task) {
    if (exchange.isInIoThread()) {
      task.run();
    } else {
      exchange.getIoThread().execute(task);
    }
  }

  static byte[] encode(Object value) {
    try {
      return JSON.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw HornbeamusherException.notRun(FailureType.INTERNAL, e).causedBy(e);
    }
  }

  record ErrorBody(ErrorType error) {}

  record ErrorType(String type) {}
}
