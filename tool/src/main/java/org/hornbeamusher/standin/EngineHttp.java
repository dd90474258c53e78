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
    if (engine.away() && !exchange.getRequestPath().startsWith("/standin/")) {
      Replies.cut(exchange);
      return;
    }
    switch (exchange.getRequestMethod() + " " + exchange.getRequestPath()) {
      case "POST /v1/completions" ->
          Replies.readJson(exchange, Completion.class, body -> complete(exchange, body));
      case "POST /v1/cancel" ->
          Replies.readJson(exchange, RequestName.class, body -> cancel(exchange, body));
      case "POST /v1/resume" ->
          Replies.readJson(exchange, RequestName.class, body -> resume(exchange, body));
      case "POST /orders/load" ->
          Replies.readJson(exchange, Order.class, body -> load(exchange, body));
      case "POST /orders/unload" ->
          Replies.readJson(exchange, Order.class, body -> unload(exchange, body));
      case "POST /orders/role" ->
          Replies.readJson(exchange, Order.class, body -> role(exchange, body));
      case "GET /state" -> later(exchange, () -> Replies.json(exchange, 200, engine.state()));
      case "GET /load" -> later(exchange, () -> Replies.json(exchange, 200, engine.lastReport()));
      case "GET /events" -> later(exchange, () -> events(exchange));
      case "GET /standin/counts" -> Replies.json(exchange, 200, engine.counts());
      case "POST /standin/behaviour" ->
          Replies.readJson(exchange, Behaviour.class, body -> behave(exchange, body));
      default -> Replies.error(exchange, 404, "unknown-path");
    }
  }

  private void later(HttpServerExchange exchange, Runnable task) {
    exchange.dispatch(SameThreadExecutor.INSTANCE, () -> engine.execute(task));
  }

  private void complete(HttpServerExchange exchange, Completion body) {
    Optional<AdapterRef> adapter = adapter(exchange, body.model());
    if (adapter.isEmpty()) {
      return;
    }
    if (body.prompt() == null || body.maxTokens() < 1 || body.maxTokens() > MAX_TOKENS) {
      Replies.error(exchange, 400, "malformed-request");
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
            ? new StreamedAnswer(exchange, id, adapter.toString(), () -> engine.lost(request))
            : new WholeAnswer(exchange, id, adapter.toString());
    answerUnlessDone(exchange, engine.begin(request, body.prompt(), key));
  }

  private void cancel(HttpServerExchange exchange, RequestName body) {
    engine.execute(
        () -> {
          engine.core().cancel(body.requestId());
          Replies.json(exchange, 200, engine.state());
        });
  }

  private void resume(HttpServerExchange exchange, RequestName body) {
    engine.execute(
        () -> {
          AdapterRef adapter = engine.core().keptAdapter(body.requestId());
          String id = body.requestId();
          StreamedAnswer sink =
              new StreamedAnswer(exchange, id, String.valueOf(adapter), () -> engine.lost(id));
          answerUnlessDone(exchange, engine.resume(id, body.from(), sink));
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
                            .thenAccept(reply -> answerOrder(exchange, reply))));
  }

  private void unload(HttpServerExchange exchange, Order order) {
    adapter(exchange, order.adapter())
        .ifPresent(
            adapter ->
                engine.execute(
                    () -> answerOrder(exchange, engine.unload(adapter, order.fencing()))));
  }

  private void role(HttpServerExchange exchange, Order order) {
    engine.execute(() -> answerOrder(exchange, engine.role(order.role(), order.fencing())));
  }

  private void events(HttpServerExchange exchange) {
    var values = exchange.getQueryParameters().get("after");
    long after;
    try {
      after = values == null ? 0 : Long.parseLong(values.getFirst());
    } catch (NumberFormatException e) {
      Replies.error(exchange, 400, "malformed-request");
      return;
    }
    Replies.json(exchange, 200, new Events(engine.eventsAfter(after)));
  }

  private void behave(HttpServerExchange exchange, Behaviour behaviour) {
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
    Replies.json(exchange, 200, behaviour);
  }

  private static void answerOrder(HttpServerExchange exchange, EngineReply reply) {
    if (reply.done()) {
      Replies.json(exchange, 200, new Done(true));
    } else {
      Replies.error(exchange, reply.status(), reply.type());
    }
  }

  private static void answerUnlessDone(HttpServerExchange exchange, EngineReply reply) {
    if (!reply.done()) {
      Replies.error(exchange, reply.status(), reply.type());
    }
  }

  private static Optional<AdapterRef> adapter(HttpServerExchange exchange, String name) {
    try {
      return Optional.of(AdapterRef.parse(name == null ? "" : name));
    } catch (InvalidIdentifierException e) {
      Replies.error(exchange, 400, "malformed-adapter");
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

  record RequestName(@JsonProperty("request_id") String requestId, int from) {}

  record Order(String adapter, String weights, String role, long fencing) {}

  record Behaviour(
      Boolean frozen,
      @JsonProperty("fail_next_loads") int failNextLoads,
      @JsonProperty("cut_next_after") int cutNextAfter,
      boolean restart) {}

  record Events(List<CacheEvents.CacheEvent> events) {}

  record Done(boolean done) {}
}
