import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** Stand-in of a model worker, with the orders, reports and streams of the users' pages. */
final class Engine {

  static final String MODEL = "m0";
  private static final long MODEL_LOAD_MILLIS = 600;
  private static final long LOAD_MILLIS = 250;
  private static final int BEAT_MILLIS = 1_200;

  /** One run of a request at this worker. */
  record Run(String id, String adapter, long version, long atMillis, int firstEvent, String at) {}

  private final String id;
  private final String service;
  private final String zone;
  private final Store store;
  private final Http.Server server;
  private final long gapMillis;
  private final int events;
  private final Map<String, Long> newest;
  private final Consumer<Run> ran;
  private final Map<String, Long> held = new TreeMap<>();
  private final Map<String, Long> pending = new TreeMap<>();
  private final Map<String, Integer> using = new ConcurrentHashMap<>();
  private long sequence;
  private long fence;
  private long beats;
  private volatile boolean down;
  private volatile boolean startedAgain;

  /** Its software, and when this life began; 0 where the worker doesn't say it. */
  private String software = "v1";

  private long bornMillis;

  /** Whether it holds its model; one that starts again holds nothing. */
  private boolean model = true;

  private boolean busy;

  Engine(
      String ip,
      String id,
      String service,
      String zone,
      Store store,
      Map<String, Long> holds,
      Map<String, Long> newest,
      int events,
      long gapMillis,
      Consumer<Run> ran)
      throws IOException {
    this(ip, 0, id, service, zone, store, holds, newest, events, gapMillis, ran);
  }

  private Engine(
      String ip,
      int port,
      String id,
      String service,
      String zone,
      Store store,
      Map<String, Long> holds,
      Map<String, Long> newest,
      int events,
      long gapMillis,
      Consumer<Run> ran)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.store = store;
    this.newest = newest;
    this.events = events;
    this.gapMillis = gapMillis;
    this.ran = ran;
    held.putAll(holds);
    server = new Http.Server(ip, port, this::handle);
  }

  String address() {
    return server.address();
  }

  String id() {
    return id;
  }

  void start() {
    server.start();
    Thread.ofVirtual().start(this::beat);
  }

  private void beat() {
    try {
      while (!down) {
        store.put("servers", id, entry());
        Thread.sleep(BEAT_MILLIS);
      }
      // The store removes an entry after three silent intervals.
      Thread.sleep(2 * BEAT_MILLIS);
      if (!startedAgain) {
        store.remove("servers", id);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized String entry() {
    return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
        + "\",\"version\":\"" + software + "\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,"
        + "\"stage\":\"colocated\"," + models() + ",\"sequence\":" + (++beats) + born() + "}";
  }

  private String born() {
    return bornMillis == 0 ? "" : ",\"born\":" + bornMillis;
  }

  private String models() {
    return !model ? "\"models\":[]" : "\"models\":[{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":["
        + list("", held) + "]}]";
  }

  private static String list(String prefix, Map<String, Long> adapters) {
    List<String> names = new ArrayList<>();
    adapters.forEach((name, version) -> names.add("\"" + prefix + name + "@" + version + "\""));
    return String.join(",", names);
  }

  private synchronized String report() {
    return "{\"stage\":\"colocated\"," + models() + ",\"pending\":[" + list(MODEL + "/", pending)
        + "],\"busy\":" + busy + ",\"sequence\":" + sequence
        + ",\"queued\":0,\"in_flight\":" + using.values().stream().mapToInt(n -> n).sum()
        + ",\"kv_used\":0,\"kv_total\":250000,\"handles\":0,\"state\":\"ready\"" + born() + "}";
  }

  /** Says which software it is, and when it began. */
  void life(String version, long born) {
    software = version;
    bornMillis = born;
  }

  /** Starts again under its id and at its address, with other software; it holds nothing. */
  Engine startAgain(String version) throws IOException {
    startedAgain = true;
    String[] at = address().split(":");
    Engine next =
        new Engine(
            at[0], Integer.parseInt(at[1]), id, service, zone, store, Map.of(), newest, events,
            gapMillis, ran);
    next.model = false;
    next.life(version, System.currentTimeMillis());
    next.start();
    return next;
  }

  /** Ends like a process that is killed: nothing listens any more, connections are reset. */
  void crash() {
    down = true;
    server.crash();
  }

  private boolean handle(Http.Message request, Socket connection, OutputStream out)
      throws Exception {
    String target = request.word(1);
    String expected = request.header("x-expect-instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      Http.answer(out, 421, "X-Instance-Id: " + id + "\r\n", new byte[0]);
    } else if (target.equals("/-/report")) {
      Http.json(out, 200, report());
    } else if (target.equals("/-/order")) {
      Http.json(out, order(new String(request.body(), StandardCharsets.UTF_8)), "{}");
    } else if (target.equals("/health")) {
      Http.answer(out, 200, "X-Instance-Id: " + id + "\r\n", new byte[0]);
    } else {
      return run(request, out);
    }
    return true;
  }

  private synchronized int order(String body) {
    String adapter = Http.field(body, "adapter");
    if (Http.field(body, "holder").isEmpty() || Http.field(body, "fence").isEmpty()) {
      return 400;
    }
    long number = Long.parseLong(Http.field(body, "fence"));
    if (number < fence) {
      return 412;
    }
    fence = number;
    String wanted = Http.field(body, "expected");
    if (!wanted.isEmpty() && Long.parseLong(wanted) != sequence) {
      return 409;
    }
    boolean load = Http.field(body, "operation").equals("load");
    if (busy) {
      return 409;
    }
    if (adapter.isEmpty()) {
      return model ? 200 : loadModel();
    }
    if (!model) {
      return 400;
    }
    if (!load) {
      sequence++;
      held.remove(adapter);
      return 200;
    }
    long version = newest.getOrDefault(adapter, 1L);
    if (held.getOrDefault(adapter, -1L) == version) {
      return 200;
    }
    sequence++;
    pending.put(adapter, version);
    Thread.ofVirtual().start(() -> load(adapter, version));
    return 202;
  }

  private int loadModel() {
    sequence++;
    busy = true;
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                Thread.sleep(MODEL_LOAD_MILLIS);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
              synchronized (this) {
                model = true;
                busy = false;
              }
            });
    return 202;
  }

  private void load(String adapter, long version) {
    try {
      Thread.sleep(LOAD_MILLIS);
      // A replacement waits for the runs of the version that it replaces.
      while (using.getOrDefault(adapter, 0) > 0) {
        Thread.sleep(10);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    synchronized (this) {
      pending.remove(adapter);
      held.put(adapter, version);
    }
  }

  private boolean run(Http.Message request, OutputStream out) throws Exception {
    String attempt = request.header("x-attempt-id");
    String model = request.header("x-model");
    String adapter = model.substring(model.indexOf('/') + 1);
    long version;
    synchronized (this) {
      Long found = held.get(adapter);
      if (found == null) {
        Http.answer(out, 421, "X-Instance-Id: " + id + "\r\n", new byte[0]);
        return true;
      }
      version = found;
      using.merge(adapter, 1, Integer::sum);
    }
    try {
      String last = request.header("last-event-id");
      int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
      ran.accept(new Run(attempt, adapter, version, Clock.millis(), first, id));
      String head =
          "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Seal: " + id + "."
              + attempt + "\r\nX-Weight-Versions: " + version
              + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
      out.write(head.getBytes(StandardCharsets.ISO_8859_1));
      for (int event = first; event <= events; event++) {
        Thread.sleep(gapMillis);
        Http.chunk(out, "id: " + event + "\ndata: " + id + " " + version + " " + software + "\n\n");
      }
      out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
      return true;
    } finally {
      using.merge(adapter, -1, Integer::sum);
    }
  }
}
