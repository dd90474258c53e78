package org.hornbeamusher.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import org.hornbeamusher.failure.HornbeamusherException;

/** Formats a failure as an HTTP response to a caller. */
final class FailureResponse {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long MILLIS_PER_SECOND = 1_000;

  private FailureResponse() {}

  /** Returns {@code {"error":{...}}}. */
  static byte[] body(HornbeamusherException failure, String requestId) {
    ObjectNode body = JSON.createObjectNode();
    ObjectNode error = body.putObject("error");
    error.put("type", failure.type().label());
    error.put("number", failure.type().number());
    error.put("message", failure.getMessage());
    error.put("outcome", failure.outcome().label());
    failure.retryAfterMillis().ifPresent(millis -> error.put("retry_after_ms", millis));
    error.put("request_id", requestId);
    return body.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Sets status and headers; the status line must not have been sent. */
  static void head(HttpServerExchange exchange, HornbeamusherException failure) {
    exchange.setStatusCode(failure.type().httpStatus());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    failure
        .retryAfterMillis()
        .ifPresent(
            millis -> exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds(millis)));
  }

  /**
   * Rounds up to whole seconds, the unit of Retry-After; rounding down would let callers retry too
   * early.
   */
  private static long seconds(long millis) {
    return (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
  }
}
