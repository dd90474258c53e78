package org.hornbeamusher.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.documents.DocumentParseResult;
import org.hornbeamusher.documents.DocumentStore;
import org.hornbeamusher.documents.Principal;
import org.hornbeamusher.documents.RefusedAttempt;
import org.hornbeamusher.documents.ServiceDocumentReader;
import org.hornbeamusher.documents.StoredDocument;
import org.hornbeamusher.documents.SubmitResult;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.security.Identity;

/** Handles the operator requests that read and change service documents. */
final class DocumentHandlers {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_ENTRIES = 1_000;

  /** A character takes up to four bytes in UTF-8. */
  private static final long MAX_BODY_BYTES = 4L * ServiceDocumentReader.MAXIMUM_TEXT_LENGTH;

  private final OperatorHost host;

  DocumentHandlers(OperatorHost host) {
    this.host = host;
  }

  void submit(HttpServerExchange exchange, Identity.Operator operator) {
    ServiceName service = service(exchange);
    long base = queryNumber(exchange, "base", 0);
    DocumentStore store = store(exchange);
    exchange.setMaxEntitySize(MAX_BODY_BYTES);
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (done, body) -> {
              String text = new String(body, StandardCharsets.UTF_8);
              OperatorApi.respondWhenDone(
                  done, submitDocument(store, service, text, base, operator));
            },
            (failed, cause) ->
                OperatorResponse.failure(
                    failed,
                    HornbeamusherException.notRun(FailureType.BODY_TOO_LARGE, MAX_BODY_BYTES)));
  }

  private static CompletableFuture<String> submitDocument(
      DocumentStore store, ServiceName service, String text, long base, Identity.Operator author) {
    String file = service.value();
    if (ServiceDocumentReader.read(file, text) instanceof DocumentParseResult.Valid valid
        && !valid.document().service().equals(service)) {
      return CompletableFuture.failedFuture(
          HornbeamusherException.notRun(
              FailureType.DOCUMENT_INVALID,
              "the text is of " + valid.document().service() + ", the path of " + service));
    }
    return store
        .submit(file, text, base, principal(author))
        .thenApply(result -> outcome(result, service, author));
  }

  void delete(HttpServerExchange exchange, Identity.Operator operator) {
    ServiceName service = service(exchange);
    long base = queryNumber(exchange, "base", 0);
    OperatorApi.respondWhenDone(
        exchange,
        store(exchange)
            .delete(service, base, principal(operator))
            .thenApply(result -> outcome(result, service, operator)));
  }

  private static String outcome(
      SubmitResult result, ServiceName service, Identity.Operator operator) {
    if (result instanceof SubmitResult.Accepted accepted) {
      EventLog.log(
          EventType.DOCUMENT_ACCEPTED,
          "service",
          service,
          "version",
          accepted.version(),
          "operator",
          operator.id());
      return JSON.createObjectNode()
          .put("service", service.value())
          .put("version", accepted.version())
          .toString();
    }
    HornbeamusherException failure = result.failure().orElseThrow();
    EventLog.log(
        EventType.DOCUMENT_REFUSED,
        "service",
        service,
        "operator",
        operator.id(),
        "partner",
        operator.partner(),
        "failure",
        failure.type());
    throw failure;
  }

  void show(HttpServerExchange exchange, Identity.Operator operator) {
    OperatorApi.respondWhenDone(
        exchange,
        store(exchange)
            .readForOperator(service(exchange), principal(operator))
            .thenApply(stored -> node(stored).toString()));
  }

  void history(HttpServerExchange exchange, Identity.Operator operator) {
    long after = queryNumber(exchange, "after", 0);
    int limit = (int) Math.min(MAX_ENTRIES, queryNumber(exchange, "limit", MAX_ENTRIES));
    OperatorApi.respondWhenDone(
        exchange,
        store(exchange)
            .history(service(exchange), principal(operator), after, limit)
            .thenApply(
                changes -> {
                  ArrayNode list = JSON.createArrayNode();
                  changes.forEach(change -> list.add(node(change)));
                  return list.toString();
                }));
  }

  void attempts(HttpServerExchange exchange, Identity.Operator operator) {
    long after = queryNumber(exchange, "after", 0);
    int limit = (int) Math.min(MAX_ENTRIES, queryNumber(exchange, "limit", MAX_ENTRIES));
    OperatorApi.respondWhenDone(
        exchange,
        store(exchange)
            .refusedAttempts(service(exchange), principal(operator), after, limit)
            .thenApply(
                attempts -> {
                  ArrayNode list = JSON.createArrayNode();
                  attempts.forEach(attempt -> list.add(node(attempt)));
                  return list.toString();
                }));
  }

  private static ObjectNode node(StoredDocument stored) {
    return JSON.createObjectNode()
        .put("service", stored.service().value())
        .put("version", stored.version())
        .put("deleted", stored.deleted())
        .put("partner", stored.author().partner().value())
        .put("team", stored.author().team().value())
        .put("accepted_ms", stored.acceptedMillis())
        .put("text", stored.text());
  }

  private static ObjectNode node(RefusedAttempt attempt) {
    return JSON.createObjectNode()
        .put("service", attempt.service().value())
        .put("partner", attempt.author().partner().value())
        .put("team", attempt.author().team().value())
        .put("tried_ms", attempt.attemptedMillis());
  }

  private DocumentStore store(HttpServerExchange exchange) {
    return host.documents()
        .orElseThrow(
            () ->
                HornbeamusherException.notRun(FailureType.UNKNOWN_PATH, exchange.getRequestPath()));
  }

  private static Principal principal(Identity.Operator operator) {
    return new Principal(operator.partner(), operator.team());
  }

  private static ServiceName service(HttpServerExchange exchange) {
    String path = exchange.getRequestPath();
    try {
      return new ServiceName(path.substring(path.lastIndexOf('/') + 1));
    } catch (IllegalArgumentException e) {
      throw HornbeamusherException.notRun(FailureType.UNKNOWN_PATH, path).causedBy(e);
    }
  }

  private static long queryNumber(HttpServerExchange exchange, String name, long fallback) {
    Deque<String> values = exchange.getQueryParameters().get(name);
    if (values == null) {
      return fallback;
    }
    try {
      long value = Long.parseLong(values.getFirst());
      if (value >= 0) {
        return value;
      }
    } catch (NumberFormatException e) {
      throw notNumber(name).causedBy(e);
    }
    throw notNumber(name);
  }

  private static HornbeamusherException notNumber(String name) {
    return HornbeamusherException.notRun(
        FailureType.MALFORMED_REQUEST, name + " must be a whole number from 0");
  }
}
