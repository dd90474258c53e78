package org.hornbeamusher.standin;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A plain service: it echoes what it was sent and counts how often it executed each key.
 *
 * <p>A call without {@code Idempotency-Key} is executed without being counted by key. The path does
 * not matter, so {@code POST /bookings} and {@code GET /loads/7} both work.
 */
public final class PlainServiceStandin {

  private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
  private static final int CREATED = 201;
  private static final int FAILED = 500;

  private final String service;
  private final StandinServer server;
  private final ScheduledExecutorService late =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().daemon().name("plain-late").factory());

  // Guarded by this object.
  private final Map<String, Long> executionsByKey = new HashMap<>();
  private long executions;
  private Behaviour behaviour = new Behaviour(0, 0, 0);

  /**
   * Creates a service.
   *
   * @param service named in its answers
   * @param host address it listens on
   * @param port port it listens on; 0 for any free one
   */
  public PlainServiceStandin(String service, String host, int port) {
    this.service = service;
    this.server = new StandinServer(host, port, this::handle);
  }

  /** Starts to listen. */
  public void start() {
    server.start();
  }

  /** Stops; open calls are cut. */
  public void stop() {
    server.stop();
    late.shutdownNow();
  }

  /**
   * Returns where it listens; known once started.
   *
   * @return for example {@code http://127.0.0.1:41001}
   */
  public URI uri() {
    return server.uri();
  }

  /**
   * Changes how it behaves.
   *
   * @param wanted replaces every earlier behaviour
   */
  public synchronized void behave(Behaviour wanted) {
    behaviour = wanted;
  }

  /**
   * Returns what was counted.
   *
   * @return the counts so far
   */
  public synchronized Counts counts() {
    return new Counts(executions, executionsByKey);
  }

  private void handle(HttpServerExchange exchange) {
    switch (exchange.getRequestPath()) {
      case "/standin/counts" -> Replies.json(exchange, 200, counts());
      case "/standin/behaviour" ->
          Replies.readJson(exchange, Behaviour.class, wanted -> changeBehaviour(exchange, wanted));
      default -> Replies.readBody(exchange, body -> execute(exchange, body));
    }
  }

  private void changeBehaviour(HttpServerExchange exchange, Behaviour wanted) {
    behave(wanted);
    Replies.json(exchange, 200, wanted);
  }

  private void execute(HttpServerExchange exchange, byte[] body) {
    String key = exchange.getRequestHeaders().getFirst(IDEMPOTENCY_KEY);
    String method = exchange.getRequestMethod().toString();
    synchronized (this) {
      executions++;
      if (key != null) {
        executionsByKey.merge(key, 1L, Long::sum);
      }
      Echo echo =
          new Echo(
              service,
              method,
              exchange.getRequestPath(),
              key,
              executions,
              new String(body, StandardCharsets.UTF_8));
      answer(exchange, method.equals("POST") ? CREATED : 200, echo);
    }
  }

  /** Answers an execution as the behaviour says; the caller holds the lock. */
  private void answer(HttpServerExchange exchange, int status, Echo echo) {
    if (behaviour.cutNext() > 0) {
      behaviour =
          new Behaviour(behaviour.delayMillis(), behaviour.failNext(), behaviour.cutNext() - 1);
      Replies.cut(exchange);
      return;
    }
    boolean fails = behaviour.failNext() > 0;
    if (fails) {
      behaviour = new Behaviour(behaviour.delayMillis(), behaviour.failNext() - 1, 0);
    }
    Runnable reply =
        () -> {
          if (fails) {
            Replies.error(exchange, FAILED, "told-to-fail");
          } else {
            Replies.json(exchange, status, echo);
          }
        };
    if (behaviour.delayMillis() > 0) {
      late.schedule(reply, behaviour.delayMillis(), TimeUnit.MILLISECONDS);
    } else {
      reply.run();
    }
  }

  /**
   * How a service behaves; also its JSON form.
   *
   * @param delayMillis how late it answers; the execution is at once
   * @param failNext how many of the next calls are executed and answered 500
   * @param cutNext how many of the next calls are executed and not answered: the connection closes
   */
  public record Behaviour(
      @JsonProperty("delay_millis") long delayMillis,
      @JsonProperty("fail_next") int failNext,
      @JsonProperty("cut_next") int cutNext) {}

  /**
   * Counts of a plain service.
   *
   * @param executions calls executed
   * @param executionsByKey calls executed, by idempotency key
   */
  public record Counts(long executions, Map<String, Long> executionsByKey) {

    /** Copies the map. */
    public Counts {
      executionsByKey = Map.copyOf(executionsByKey);
    }

    /**
     * Returns how often a call with a key was executed again.
     *
     * @return executions beyond the first, summed over keys
     */
    public long repeated() {
      return executionsByKey.values().stream().mapToLong(n -> n - 1).sum();
    }
  }

  record Echo(
      String service, String method, String path, String key, long execution, String body) {}
}
