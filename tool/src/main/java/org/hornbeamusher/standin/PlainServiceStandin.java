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
 * Stand-in of a plain service: it echoes each call and counts the executions per idempotency key.
 *
 * <p>A call without {@code Idempotency-Key} is executed but not counted by key. Every path is
 * accepted, for example {@code POST /bookings} and {@code GET /loads/7}.
 */
public final class PlainServiceStandin {

  private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
  private static final int CREATED = 201;
  private static final int INTERNAL_SERVER_ERROR = 500;

  private final String service;
  private final StandinServer server;
  private final ScheduledExecutorService delayedResponses =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().daemon().name("plain-late").factory());

  // Guarded by this object.
  private final Map<String, Long> executionsByKey = new HashMap<>();
  private long executions;
  private Behaviour behaviour = new Behaviour(0, 0, 0);

  /**
   * Creates a service.
   *
   * @param service the service's name, which responses contain
   * @param host address it listens on
   * @param port port it listens on; 0 for any free one
   */
  public PlainServiceStandin(String service, String host, int port) {
    this.service = service;
    this.server = new StandinServer(host, port, this::handle);
  }

  /** Starts listening. */
  public void start() {
    server.start();
  }

  /** Stops; open calls are aborted. */
  public void stop() {
    server.stop();
    delayedResponses.shutdownNow();
  }

  /**
   * Returns the service's address; known once it is started.
   *
   * @return for example {@code http://127.0.0.1:41001}
   */
  public URI uri() {
    return server.uri();
  }

  /**
   * Sets the simulated faults.
   *
   * @param newBehaviour replaces the earlier behaviour
   */
  public synchronized void setBehaviour(Behaviour newBehaviour) {
    behaviour = newBehaviour;
  }

  /**
   * Returns the counters.
   *
   * @return the current counts
   */
  public synchronized Counts counts() {
    return new Counts(executions, executionsByKey);
  }

  private void handle(HttpServerExchange exchange) {
    switch (exchange.getRequestPath()) {
      case "/standin/counts" -> HttpExchanges.json(exchange, 200, counts());
      case "/standin/behaviour" ->
          HttpExchanges.readJson(
              exchange, Behaviour.class, newBehaviour -> changeBehaviour(exchange, newBehaviour));
      default -> HttpExchanges.readBody(exchange, body -> execute(exchange, body));
    }
  }

  private void changeBehaviour(HttpServerExchange exchange, Behaviour newBehaviour) {
    setBehaviour(newBehaviour);
    HttpExchanges.json(exchange, 200, newBehaviour);
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
      respond(exchange, method.equals("POST") ? CREATED : 200, echo);
    }
  }

  /**
   * Responds to an executed call according to the configured behaviour. The caller holds the lock.
   */
  private void respond(HttpServerExchange exchange, int status, Echo echo) {
    if (behaviour.cutNext() > 0) {
      behaviour =
          new Behaviour(behaviour.delayMillis(), behaviour.failNext(), behaviour.cutNext() - 1);
      HttpExchanges.closeConnection(exchange);
      return;
    }
    boolean fails = behaviour.failNext() > 0;
    if (fails) {
      behaviour = new Behaviour(behaviour.delayMillis(), behaviour.failNext() - 1, 0);
    }
    Runnable response =
        () -> {
          if (fails) {
            HttpExchanges.error(exchange, INTERNAL_SERVER_ERROR, "told-to-fail");
          } else {
            HttpExchanges.json(exchange, status, echo);
          }
        };
    if (behaviour.delayMillis() > 0) {
      delayedResponses.schedule(response, behaviour.delayMillis(), TimeUnit.MILLISECONDS);
    } else {
      response.run();
    }
  }

  /**
   * The simulated faults of a plain service; also their JSON form.
   *
   * @param delayMillis delay of responses; calls are executed without delay
   * @param failNext number of next calls that are executed and then fail with status 500
   * @param cutNext number of next calls that are executed but get no response: the connection is
   *     closed
   */
  public record Behaviour(
      @JsonProperty("delay_millis") long delayMillis,
      @JsonProperty("fail_next") int failNext,
      @JsonProperty("cut_next") int cutNext) {}

  /**
   * Counters of a plain service; also their JSON form.
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
     * Returns how often calls with an idempotency key were executed more than once.
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
