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

/** The platform over HTTP: tables, objects and the instance list, with faults on request. */
public final class PlatformStandin {

  private static final int SCAN_LIMIT = 1_000;
  private static final int THROTTLED = 429;
  private static final int UNAVAILABLE = 503;

  private final Clock clock;
  private final StandinServer server;
  private final ScheduledExecutorService late =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().daemon().name("platform-late").factory());

  // Guarded by this object.
  private final PlatformRows rows = new PlatformRows();
  private final Map<String, byte[]> objects = new HashMap<>();
  private final LaggingInstances instances;
  private final CallRate writes;
  private final CallRate reads;
  private PlatformFaults faults = PlatformFaults.NONE;
  private long readCount;
  private long writeCount;
  private long throttledCount;

  /**
   * Creates an empty platform.
   *
   * @param settings its figures
   * @param clock tells the time
   */
  public PlatformStandin(PlatformSettings settings, Clock clock) {
    this.clock = clock;
    this.instances = new LaggingInstances(settings.listLagMillis(), settings.instances());
    this.writes = new CallRate(settings.writesPerSecond());
    this.reads = new CallRate(settings.readsPerSecond());
    this.server = new StandinServer(settings.host(), settings.port(), this::handle);
  }

  /** Starts to listen. */
  public void start() {
    server.start();
  }

  /** Stops. */
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
   * Changes what is wrong.
   *
   * @param now replaces every earlier fault
   */
  public synchronized void faults(PlatformFaults now) {
    faults = now;
  }

  /**
   * Adds or changes an instance; the list shows it when its lag has passed.
   *
   * @param instance the instance
   */
  public synchronized void put(Instance instance) {
    instances.put(instance, clock.millis());
  }

  /**
   * Removes an instance; the list shows it until its lag has passed.
   *
   * @param id the instance
   */
  public synchronized void remove(String id) {
    instances.remove(id, clock.millis());
  }

  /**
   * Returns what was counted.
   *
   * @return the counts so far
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
          read(exchange, () -> PlatformJson.Instances.of(instances.shown(clock.millis())));
      case "GET /objects" -> read(exchange, () -> object(exchange));
      case "PUT /objects" -> write(exchange, body -> putObject(exchange, body));
      case "GET /standin/counts" -> Replies.json(exchange, 200, counts());
      case "POST /standin/faults" ->
          Replies.readJson(
              exchange, PlatformFaults.class, wanted -> changeFaults(exchange, wanted));
      case "PUT /standin/instances" ->
          Replies.readBody(exchange, body -> putInstance(exchange, body));
      default -> Replies.error(exchange, 404, "unknown-path");
    }
  }

  private void read(HttpServerExchange exchange, Supplier<Object> reader) {
    exchange.dispatch(SameThreadExecutor.INSTANCE, () -> readNow(exchange, reader));
  }

  private synchronized void readNow(HttpServerExchange exchange, Supplier<Object> reader) {
    readCount++;
    if (!admitted(exchange, reads)) {
      return;
    }
    try {
      answer(exchange, 200, reader.get());
    } catch (NumberFormatException e) {
      Replies.error(exchange, 400, "malformed-request");
    }
  }

  private void write(HttpServerExchange exchange, Function<byte[], Object> writer) {
    Replies.readBody(exchange, body -> writeNow(exchange, body, writer));
  }

  private synchronized void writeNow(
      HttpServerExchange exchange, byte[] body, Function<byte[], Object> writer) {
    writeCount++;
    if (!admitted(exchange, writes)) {
      return;
    }
    Object result;
    try {
      result = writer.apply(body);
    } catch (HornbeamusherException e) {
      answer(exchange, 400, new Replies.ErrorBody(new Replies.ErrorType(e.type().label())));
      return;
    }
    if (faults.loseAnswers() > 0) {
      faults = faults.oneAnswerLost();
      Replies.cut(exchange);
      return;
    }
    boolean conflict = result instanceof PlatformJson.CommitResponse r && !r.committed();
    answer(exchange, conflict ? 409 : 200, result);
  }

  private boolean admitted(HttpServerExchange exchange, CallRate rate) {
    if (faults.silent()) {
      return false;
    }
    if (faults.refusing()) {
      Replies.error(exchange, UNAVAILABLE, "unavailable");
      return false;
    }
    if (!rate.take(clock.millis())) {
      throttledCount++;
      Replies.error(exchange, THROTTLED, "throttled");
      return false;
    }
    return true;
  }

  private void answer(HttpServerExchange exchange, int status, Object body) {
    byte[] json = PlatformJson.encode(body);
    Runnable send = () -> Replies.bytes(exchange, status, "application/json", json);
    if (faults.delayMillis() > 0) {
      late.schedule(send, faults.delayMillis(), TimeUnit.MILLISECONDS);
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

  private void changeFaults(HttpServerExchange exchange, PlatformFaults wanted) {
    faults(wanted);
    Replies.json(exchange, 200, wanted);
  }

  private void putInstance(HttpServerExchange exchange, byte[] body) {
    Instance instance;
    try {
      instance = PlatformJson.decode(body, PlatformJson.InstanceForm.class).toInstance();
    } catch (HornbeamusherException e) {
      Replies.error(exchange, 400, e.type().label());
      return;
    }
    put(instance);
    Replies.json(exchange, 200, counts());
  }

  private static String parameter(HttpServerExchange exchange, String name, String otherwise) {
    Deque<String> values = exchange.getQueryParameters().get(name);
    return values == null ? otherwise : values.getFirst();
  }

  /**
   * Counts of the platform stand-in.
   *
   * @param reads reads, scans and lists asked for
   * @param writes transactions and object writes asked for
   * @param throttled calls refused because of their rate
   */
  public record Counts(long reads, long writes, long throttled) {}

  record ObjectForm(byte[] content) {}
}
