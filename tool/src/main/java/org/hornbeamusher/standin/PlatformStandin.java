package org.hornbeamusher.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.net.URI;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.table.CommitResult;
import org.hornbeamusher.table.Instance;
import org.hornbeamusher.table.PlatformJson;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.RowKey;
import org.hornbeamusher.table.Transaction;

/**
 * Stand-in of the platform with its HTTP interface: tables, objects and the instance list, with
 * faults on request.
 */
public final class PlatformStandin {

  private static final int SCAN_LIMIT = 1_000;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final Clock clock;
  private final StandinServer server;
  private final ScheduledExecutorService delayedResponses =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().daemon().name("platform-late").factory());

  // Guarded by this object.
  private final PlatformRows rows = new PlatformRows();
  private final Map<String, byte[]> objects = new HashMap<>();
  private final LaggedInstanceList instances;
  private final TokenBucket writes;
  private final TokenBucket reads;
  private PlatformFaults faults = PlatformFaults.NONE;
  private long readCount;
  private long writeCount;
  private long throttledCount;

  /**
   * Creates a platform without rows and objects.
   *
   * @param settings the platform's settings
   * @param clock source of time for rate limits and the lag of the instance list
   */
  public PlatformStandin(PlatformStandinSettings settings, Clock clock) {
    this.clock = clock;
    this.instances = new LaggedInstanceList(settings.listLagMillis(), settings.instances());
    this.writes = new TokenBucket(settings.writesPerSecond());
    this.reads = new TokenBucket(settings.readsPerSecond());
    this.server = new StandinServer(settings.host(), settings.port(), this::handle);
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
   * Returns the platform's address; known once it is started.
   *
   * @return for example {@code http://127.0.0.1:41001}
   */
  public URI uri() {
    return server.uri();
  }

  /**
   * Sets the simulated faults.
   *
   * @param newFaults replaces the earlier faults
   */
  public synchronized void setFaults(PlatformFaults newFaults) {
    faults = newFaults;
  }

  /**
   * Adds or changes an instance; the list shows the change after its lag.
   *
   * @param instance the instance
   */
  public synchronized void put(Instance instance) {
    instances.put(instance, clock.millis());
  }

  /**
   * Removes an instance; the list shows the change after its lag.
   *
   * @param id the instance's id
   */
  public synchronized void removeInstance(String id) {
    instances.remove(id, clock.millis());
  }

  /**
   * Returns the counters.
   *
   * @return the current counts
   */
  public synchronized Counts counts() {
    return new Counts(readCount, writeCount, throttledCount);
  }

  private void handle(HttpServerExchange exchange) {
    String call = exchange.getRequestMethod() + " " + exchange.getRequestPath();
    switch (call) {
      case "GET /rows" -> read(exchange, () -> PlatformJson.Rows.of(rowsFor(exchange)));
      case "POST /commits" -> write(exchange, this::commit);
      case "GET /instances" ->
          read(exchange, () -> PlatformJson.Instances.of(instances.visibleAt(clock.millis())));
      case "GET /objects" -> read(exchange, () -> object(exchange));
      case "PUT /objects" -> write(exchange, body -> putObject(exchange, body));
      case "GET /standin/counts" -> HttpExchanges.json(exchange, 200, counts());
      case "POST /standin/faults" ->
          HttpExchanges.readJson(
              exchange, PlatformFaults.class, newFaults -> changeFaults(exchange, newFaults));
      case "PUT /standin/instances" ->
          HttpExchanges.readBody(exchange, body -> putInstance(exchange, body));
      default -> HttpExchanges.error(exchange, 404, "unknown-path");
    }
  }

  private void read(HttpServerExchange exchange, Supplier<Object> reader) {
    exchange.dispatch(SameThreadExecutor.INSTANCE, () -> readNow(exchange, reader));
  }

  private synchronized void readNow(HttpServerExchange exchange, Supplier<Object> reader) {
    readCount++;
    if (!admit(exchange, reads)) {
      return;
    }
    try {
      respond(exchange, 200, reader.get());
    } catch (NumberFormatException e) {
      HttpExchanges.error(exchange, 400, "malformed-request");
    }
  }

  private void write(HttpServerExchange exchange, Function<byte[], Object> writer) {
    HttpExchanges.readBody(exchange, body -> writeNow(exchange, body, writer));
  }

  private synchronized void writeNow(
      HttpServerExchange exchange, byte[] body, Function<byte[], Object> writer) {
    writeCount++;
    if (!admit(exchange, writes)) {
      return;
    }
    Object result;
    try {
      result = writer.apply(body);
    } catch (HornbeamusherException e) {
      respond(
          exchange,
          400,
          new HttpExchanges.ErrorBody(new HttpExchanges.ErrorType(e.type().label())));
      return;
    }
    if (faults.loseAnswers() > 0) {
      faults = faults.withOneAnswerLost();
      HttpExchanges.closeConnection(exchange);
      return;
    }
    boolean conflict = result instanceof PlatformJson.CommitResponse r && !r.committed();
    respond(exchange, conflict ? 409 : 200, result);
  }

  private boolean admit(HttpServerExchange exchange, TokenBucket rate) {
    if (faults.silent()) {
      return false;
    }
    if (faults.refusing()) {
      HttpExchanges.error(exchange, SERVICE_UNAVAILABLE, "unavailable");
      return false;
    }
    if (!rate.tryAcquire(clock.millis())) {
      throttledCount++;
      HttpExchanges.error(exchange, TOO_MANY_REQUESTS, "throttled");
      return false;
    }
    return true;
  }

  private void respond(HttpServerExchange exchange, int status, Object body) {
    byte[] json = PlatformJson.encode(body);
    Runnable send = () -> HttpExchanges.bytes(exchange, status, "application/json", json);
    if (faults.delayMillis() > 0) {
      delayedResponses.schedule(send, faults.delayMillis(), TimeUnit.MILLISECONDS);
    } else {
      send.run();
    }
  }

  private List<Row> rowsFor(HttpServerExchange exchange) {
    String table = parameter(exchange, "table", "");
    String key = parameter(exchange, "key", null);
    if (key != null) {
      return rows.read(new RowKey(table, key)).stream().toList();
    }
    String prefix = parameter(exchange, "prefix", "");
    String after = parameter(exchange, "after", "");
    int limit = Integer.parseInt(parameter(exchange, "limit", String.valueOf(SCAN_LIMIT)));
    return rows.scan(table, prefix, after, Math.min(limit, SCAN_LIMIT));
  }

  private Object commit(byte[] body) {
    Transaction transaction =
        PlatformJson.decode(body, PlatformJson.CommitRequest.class).toTransaction();
    CommitResult result = rows.commit(transaction);
    return PlatformJson.CommitResponse.of(result);
  }

  private Object object(HttpServerExchange exchange) {
    return new ObjectForm(objects.get(parameter(exchange, "name", "")));
  }

  private Object putObject(HttpServerExchange exchange, byte[] content) {
    objects.put(parameter(exchange, "name", ""), content);
    return new ObjectForm(null);
  }

  private void changeFaults(HttpServerExchange exchange, PlatformFaults newFaults) {
    setFaults(newFaults);
    HttpExchanges.json(exchange, 200, newFaults);
  }

  private void putInstance(HttpServerExchange exchange, byte[] body) {
    Instance instance;
    try {
      instance = PlatformJson.decode(body, PlatformJson.InstanceForm.class).toInstance();
    } catch (HornbeamusherException e) {
      HttpExchanges.error(exchange, 400, e.type().label());
      return;
    }
    put(instance);
    HttpExchanges.json(exchange, 200, counts());
  }

  private static String parameter(HttpServerExchange exchange, String name, String defaultValue) {
    Deque<String> values = exchange.getQueryParameters().get(name);
    return values == null ? defaultValue : values.getFirst();
  }

  /**
   * Counters of the platform stand-in; also their JSON form.
   *
   * @param reads reads, scans and lists requested
   * @param writes transactions and object writes requested
   * @param throttled calls refused by a rate limit
   */
  public record Counts(long reads, long writes, long throttled) {}

  record ObjectForm(byte[] content) {}
}
