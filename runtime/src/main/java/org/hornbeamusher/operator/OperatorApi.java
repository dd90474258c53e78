package org.hornbeamusher.operator;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.PathHandler;
import io.undertow.util.Headers;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.metrics.MetricsReport;
import org.hornbeamusher.security.Identity;
import org.hornbeamusher.security.TokenDirectory;
import org.hornbeamusher.status.ProcessStatus;
import org.hornbeamusher.status.StatusText;

/**
 * The operators' HTTP API.
 *
 * <table>
 * <caption>Paths</caption>
 * <tr><td>{@code POST /operator/documents/SERVICE?base=N}</td><td>submits a document</td></tr>
 * <tr><td>{@code DELETE /operator/documents/SERVICE?base=N}</td><td>deletes a document</td></tr>
 * <tr><td>{@code GET /operator/documents/SERVICE}</td><td>shows the current document</td></tr>
 * <tr><td>{@code GET /operator/history/SERVICE}</td><td>lists accepted changes</td></tr>
 * <tr><td>{@code GET /operator/attempts/SERVICE}</td><td>lists refused attempts</td></tr>
 * <tr><td>{@code POST /operator/drain}</td><td>starts a drain of the process</td></tr>
 * <tr><td>{@code GET /status}, {@code /status.txt}, {@code /status.html}</td><td>status</td></tr>
 * <tr><td>{@code GET /metrics}</td><td>JSON, or Prometheus text</td></tr>
 * </table>
 *
 * <p>Each request is first authenticated as an operator's, so that no path returns anything to a
 * token of another role; the results are then filtered by the operator's partner. A process without
 * a document store (an agent) responds with {@code UNKNOWN_PATH} on the document paths.
 */
public final class OperatorApi implements HttpHandler {

  private static final List<String> ROOTS =
      List.of("/operator", "/status", "/status.txt", "/status.html", "/metrics");

  private final OperatorHost host;
  private final TokenDirectory tokens;
  private final MetricsReport metrics;
  private final DocumentHandlers documents;

  /**
   * Creates the API.
   *
   * @param host the process it belongs to
   * @param tokens identifies operators
   * @param metrics the process's metrics
   */
  public OperatorApi(OperatorHost host, TokenDirectory tokens, MetricsReport metrics) {
    this.host = host;
    this.tokens = tokens;
    this.metrics = metrics;
    this.documents = new DocumentHandlers(host);
  }

  /**
   * Adds the paths of the API to a server.
   *
   * @param paths the server's handler
   * @return the same handler
   */
  public PathHandler mount(PathHandler paths) {
    ROOTS.forEach(root -> paths.addPrefixPath(root, this));
    return paths;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    try {
      Identity.Operator operator =
          tokens.operator(exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION));
      handle(exchange, operator);
    } catch (RuntimeException e) {
      OperatorResponse.failure(exchange, e);
    }
  }

  private void handle(HttpServerExchange exchange, Identity.Operator operator) {
    String path = exchange.getRequestPath();
    switch (exchange.getRequestMethod() + " " + firstSegments(path)) {
      case "GET /status" -> OperatorResponse.json(exchange, status(operator).json());
      case "GET /status.txt" -> OperatorResponse.text(exchange, StatusText.of(status(operator)));
      case "GET /status.html" -> OperatorResponse.html(exchange, StatusText.page(status(operator)));
      case "GET /metrics" -> metrics(exchange, operator.partner());
      case "POST /operator/drain" -> drain(exchange, operator);
      case "POST /operator/documents" -> documents.submit(exchange, operator);
      case "DELETE /operator/documents" -> documents.delete(exchange, operator);
      case "GET /operator/documents" -> documents.show(exchange, operator);
      case "GET /operator/history" -> documents.history(exchange, operator);
      case "GET /operator/attempts" -> documents.attempts(exchange, operator);
      default -> throw HornbeamusherException.notRun(FailureType.UNKNOWN_PATH, path);
    }
  }

  /** Returns {@code /operator/NAME}, or the first segment of any other path. */
  private static String firstSegments(String path) {
    String[] segments = path.split("/", 4);
    if (segments.length > 2 && segments[1].equals("operator")) {
      return "/operator/" + segments[2];
    }
    return segments.length > 1 ? "/" + segments[1] : path;
  }

  private ProcessStatus status(Identity.Operator operator) {
    return host.status().visibleTo(operator.partner());
  }

  private void metrics(HttpServerExchange exchange, PartnerId partner) {
    String accepts = exchange.getRequestHeaders().getFirst(Headers.ACCEPT);
    boolean prometheus =
        "format=prometheus".equals(exchange.getQueryString())
            || (accepts != null && accepts.contains("text/plain"));
    if (prometheus) {
      String text = metrics.prometheus(service -> owns(partner, service));
      OperatorResponse.send(exchange, MetricsReport.PROMETHEUS_TYPE, text);
    } else {
      OperatorResponse.json(exchange, metrics.json(service -> owns(partner, service)));
    }
  }

  private boolean owns(PartnerId partner, ServiceName service) {
    return host.owner(service).filter(partner::equals).isPresent();
  }

  /**
   * Starts a drain. An instance may serve both partners, and draining it takes capacity from both;
   * the right to drain is therefore granted in the instance's settings and not by the role alone.
   */
  private void drain(HttpServerExchange exchange, Identity.Operator operator) {
    if (!operator.mayDrain()) {
      EventLog.log(EventType.OPERATOR_REFUSED, "operator", operator.id(), "call", "drain");
      throw HornbeamusherException.notRun(FailureType.FORBIDDEN, "drain");
    }
    EventLog.log(EventType.DRAIN_ORDERED, "operator", operator.id());
    host.drain();
    OperatorResponse.json(exchange, "{\"leaving\":true}");
  }

  static void respondWhenDone(HttpServerExchange exchange, CompletableFuture<String> json) {
    exchange.dispatch(
        io.undertow.util.SameThreadExecutor.INSTANCE,
        () ->
            json.whenComplete(
                (body, thrown) -> {
                  if (thrown == null) {
                    OperatorResponse.json(exchange, body);
                  } else {
                    OperatorResponse.failure(exchange, thrown);
                  }
                }));
  }
}
