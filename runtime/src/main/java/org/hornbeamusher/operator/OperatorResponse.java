package org.hornbeamusher.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.toml.Problem;
import org.hornbeamusher.toml.Problems;

/** Writes responses to operators. */
final class OperatorResponse {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String CONTENT_SECURITY_POLICY =
      "default-src 'none'; style-src 'unsafe-inline'";

  private OperatorResponse() {}

  static void json(HttpServerExchange exchange, String json) {
    send(exchange, "application/json", json);
  }

  static void text(HttpServerExchange exchange, String text) {
    send(exchange, "text/plain; charset=utf-8", text);
  }

  /** The page has no script; the policy blocks scripts even if a name contained one. */
  static void html(HttpServerExchange exchange, String page) {
    exchange.getResponseHeaders().put(Headers.CONTENT_SECURITY_POLICY, CONTENT_SECURITY_POLICY);
    send(exchange, "text/html; charset=utf-8", page);
  }

  static void send(HttpServerExchange exchange, String type, String body) {
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
    exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
    exchange.getResponseSender().send(body);
  }

  static void failure(HttpServerExchange exchange, Throwable thrown) {
    HornbeamusherException failure = HornbeamusherException.from(thrown);
    if (exchange.isResponseStarted()) {
      exchange.endExchange();
      return;
    }
    ObjectNode body = JSON.createObjectNode();
    ObjectNode error = body.putObject("error");
    error.put("type", failure.type().label());
    error.put("number", failure.type().number());
    error.put("message", failure.getMessage());
    error.put("outcome", failure.outcome().label());
    failure.retryAfterMillis().ifPresent(millis -> error.put("retry_after_ms", millis));
    addProblems(error, Problems.of(failure));
    exchange.setStatusCode(failure.type().httpStatus());
    json(exchange, body.toString());
  }

  private static void addProblems(ObjectNode error, Problems problems) {
    if (problems.all().isEmpty()) {
      return;
    }
    ArrayNode list = error.putArray("problems");
    for (Problem problem : problems.all()) {
      list.addObject()
          .put("file", problem.file())
          .put("line", problem.line())
          .put("key", problem.key())
          .put("kind", problem.kind().name())
          .put("detail", problem.detail());
    }
  }
}
