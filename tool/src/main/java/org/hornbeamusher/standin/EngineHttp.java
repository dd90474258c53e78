package org.hornbeamusher.standin;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.util.List;
import java.util.Optional;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.InvalidIdentifierException;

/** The HTTP interface of an engine stand-in; see {@code docs/ENGINE-INTERFACE.md}. */
final class EngineHttp implements HttpHandler {

  private static final HttpString REQUEST_ID = new HttpString("X-Request-Id");
  private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
  private static final int MAX_TOKENS = 100_000;

  private final EngineStandin engine;

  EngineHttp(EngineStandin engine) {
    this.engine = engine;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    if (engine.isUnreachable() && !exchange.getRequestPath().startsWith("/standin/")) {
      HttpExchanges.closeConnection(exchange);
      return;
    }
    switch (exchange.getRequestMethod() + " " + exchange.getRequestPath()) {
      case "POST /v1/completions" ->
          HttpExchanges.readJson(exchange, Completion.class, body -> complete(exchange, body));
      case "POST /v1/cancel" ->
          HttpExchanges.readJson(exchange, RequestReference.class, body -> cancel(exchange, body));
      case "POST /v1/resume" ->
          HttpExchanges.readJson(exchange, RequestReference.class, body -> resume(exchange, body));
      case "POST /orders/load" ->
          HttpExchanges.readJson(exchange, Order.class, body -> load(exchange, body));
      case "POST /orders/unload" ->
          HttpExchanges.readJson(exchange, Order.class, body -> unload(exchange, body));
      case "POST /orders/role" ->
          HttpExchanges.readJson(exchange, Order.class, body -> role(exchange, body));
      case "GET /state" ->
          runOnEngine(exchange, () -> HttpExchanges.json(exchange, 200, engine.state()));
      case "GET /load" ->
          runOnEngine(exchange, () -> HttpExchanges.json(exchange, 200, engine.currentReport()));
      case "GET /events" -> runOnEngine(exchange, () -> events(exchange));
      case "GET /standin/counts" -> HttpExchanges.json(exchange, 200, engine.counts());
      case "POST /standin/behaviour" ->
          HttpExchanges.readJson(exchange, Behaviour.class, body -> applyBehaviour(exchange, body));
      default -> HttpExchanges.error(exchange, 404, "unknown-path");
    }
  }

  private void runOnEngine(HttpServerExchange exchange, Runnable task) {
    exchange.dispatch(SameThreadExecutor.INSTANCE, () -> engine.execute(task));
  }

  private void complete(HttpServerExchange exchange, Completion body) {
    Optional<AdapterRef> adapter = adapter(exchange, body.model());
    if (adapter.isEmpty()) {
      return;
    }
    if (body.prompt() == null || body.maxTokens() < 1 || body.maxTokens() > MAX_TOKENS) {
      HttpExchanges.error(exchange, 400, "malformed-request");
      return;
    }
    String id = header(exchange, REQUEST_ID);
    String key = header(exchange, IDEMPOTENCY_KEY);
    engine.execute(() -> start(exchange, body, adapter.get(), id, key));
  }

  private void start(
      HttpServerExchange exchange, Completion body, AdapterRef adapter, String id, String key) {
    RunningRequest request =
        new RunningRequest(id, adapter, body.prompt(), body.maxTokens(), body.priority(), null);
    request.sink =
        body.stream()
            ? new StreamedResponse(
                exchange, id, adapter.toString(), () -> engine.connectionLost(request))
            : new CompleteResponse(exchange, id, adapter.toString());
    sendUnlessSuccess(exchange, engine.startRequest(request, body.prompt(), key));
  }

  private void cancel(HttpServerExchange exchange, RequestReference body) {
    engine.execute(
        () -> {
          engine.core().cancel(body.requestId());
          HttpExchanges.json(exchange, 200, engine.state());
        });
  }

  private void resume(HttpServerExchange exchange, RequestReference body) {
    engine.execute(
        () -> {
          AdapterRef adapter = engine.core().resumableAdapter(body.requestId());
          String id = body.requestId();
          StreamedResponse sink =
              new StreamedResponse(
                  exchange, id, String.valueOf(adapter), () -> engine.connectionLost(id));
          sendUnlessSuccess(exchange, engine.resume(id, body.from(), sink));
        });
  }

  private void load(HttpServerExchange exchange, Order order) {
    adapter(exchange, order.adapter())
        .ifPresent(
            adapter ->
                engine.execute(
                    () ->
                        engine
                            .load(adapter, order.weights(), order.fencing())
                            .thenAccept(result -> sendResult(exchange, result))));
  }

  private void unload(HttpServerExchange exchange, Order order) {
    adapter(exchange, order.adapter())
        .ifPresent(
            adapter ->
                engine.execute(
                    () -> sendResult(exchange, engine.unload(adapter, order.fencing()))));
  }

  private void role(HttpServerExchange exchange, Order order) {
    engine.execute(() -> sendResult(exchange, engine.setRole(order.role(), order.fencing())));
  }

  private void events(HttpServerExchange exchange) {
    var values = exchange.getQueryParameters().get("after");
    long after;
    try {
      after = values == null ? 0 : Long.parseLong(values.getFirst());
    } catch (NumberFormatException e) {
      HttpExchanges.error(exchange, 400, "malformed-request");
      return;
    }
    HttpExchanges.json(exchange, 200, new Events(engine.eventsAfter(after)));
  }

  private void applyBehaviour(HttpServerExchange exchange, Behaviour behaviour) {
    if (behaviour.frozen() != null) {
      engine.freeze(behaviour.frozen());
    }
    engine.failNextLoads(behaviour.failNextLoads());
    if (behaviour.cutNextAfter() > 0) {
      engine.cutNextAfter(behaviour.cutNextAfter());
    }
    if (behaviour.restart()) {
      engine.restart();
    }
    HttpExchanges.json(exchange, 200, behaviour);
  }

  private static void sendResult(HttpServerExchange exchange, EngineResult result) {
    if (result.isSuccess()) {
      HttpExchanges.json(exchange, 200, new Done(true));
    } else {
      HttpExchanges.error(exchange, result.status(), result.type());
    }
  }

  private static void sendUnlessSuccess(HttpServerExchange exchange, EngineResult result) {
    if (!result.isSuccess()) {
      HttpExchanges.error(exchange, result.status(), result.type());
    }
  }

  private static Optional<AdapterRef> adapter(HttpServerExchange exchange, String name) {
    try {
      return Optional.of(AdapterRef.parse(name == null ? "" : name));
    } catch (InvalidIdentifierException e) {
      HttpExchanges.error(exchange, 400, "malformed-adapter");
      return Optional.empty();
    }
  }

  private static String header(HttpServerExchange exchange, HttpString name) {
    String value = exchange.getRequestHeaders().getFirst(name);
    return value == null ? "" : value;
  }

  record Completion(
      String model,
      String prompt,
      @JsonProperty("max_tokens") int maxTokens,
      boolean stream,
      int priority) {}

  record RequestReference(@JsonProperty("request_id") String requestId, int from) {}

  record Order(String adapter, String weights, String role, long fencing) {}

  record Behaviour(
      Boolean frozen,
      @JsonProperty("fail_next_loads") int failNextLoads,
      @JsonProperty("cut_next_after") int cutNextAfter,
      boolean restart) {}

  record Events(List<CacheEvents.CacheEvent> events) {}

  record Done(boolean done) {}
}
