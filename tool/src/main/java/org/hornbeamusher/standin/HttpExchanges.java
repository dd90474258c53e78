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

/** Reads request bodies and writes JSON responses for all stand-ins. */
final class HttpExchanges {

  private static final ObjectMapper JSON =
      new ObjectMapper()
          .setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private HttpExchanges() {}

  /** Reads the complete body and passes it on. The exchange stays open until a response is sent. */
  static void readBody(HttpServerExchange exchange, Consumer<byte[]> next) {
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (received, body) ->
                received.dispatch(SameThreadExecutor.INSTANCE, () -> next.accept(body)));
  }

  /**
   * Reads a JSON body and passes it on, or responds with status 400 when it does not have the
   * expected form.
   */
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

  /** Responds with a value as JSON. Any thread may call this once the exchange is dispatched. */
  static void json(HttpServerExchange exchange, int status, Object value) {
    bytes(exchange, status, "application/json", encode(value));
  }

  /** Responds with {@code {"error":{"type":"..."}}}. */
  static void error(HttpServerExchange exchange, int status, String type) {
    json(exchange, status, new ErrorBody(new ErrorType(type)));
  }

  static void bytes(HttpServerExchange exchange, int status, String contentType, byte[] body) {
    runOnIoThread(
        exchange,
        () -> {
          exchange.setStatusCode(status);
          exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
          exchange.getResponseSender().send(ByteBuffer.wrap(body));
        });
  }

  /** Closes the connection without completing the response. */
  static void closeConnection(HttpServerExchange exchange) {
    runOnIoThread(exchange, () -> IoUtils.safeClose(exchange.getConnection()));
  }

  /** Runs a task on the exchange's I/O thread, the only one that may use its connection. */
  static void runOnIoThread(HttpServerExchange exchange, Runnable task) {
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
