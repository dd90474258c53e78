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
  static final long MODEL_MB = 65_100;
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

  /** Weights and adapters together that this worker holds, and the size of an adapter. */
  private long weightMb = 66_500;

  private long adapterMb = 12;

  /** Called with the loads that were ordered when they exceed what the worker holds. */
  private Consumer<String> overloaded = what -> {};

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
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.store = store;
    this.newest = newest;
    this.events = events;
    this.gapMillis = gapMillis;
    this.ran = ran;
    held.putAll(holds);
    server = new Http.Server(ip, 0, this::handle);
  }

  void limit(long allMb, long eachMb, Consumer<String> onOverload) {
    weightMb = allMb;
    adapterMb = eachMb;
    overloaded = onOverload;
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
      store.remove("servers", id);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized String entry() {
    return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
        + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,"
        + "\"stage\":\"colocated\"," + models() + ",\"sequence\":" + (++beats) + "}";
  }

  private String models() {
    return "\"models\":[{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":["
        + list("", held) + "]}]";
  }

  private static String list(String prefix, Map<String, Long> adapters) {
    List<String> names = new ArrayList<>();
    adapters.forEach((name, version) -> names.add("\"" + prefix + name + "@" + version + "\""));
    return String.join(",", names);
  }

  private synchronized String report() {
    return "{\"stage\":\"colocated\"," + models() + ",\"pending\":[" + list(MODEL + "/", pending)
        + "],\"busy\":false,\"sequence\":" + sequence
        + ",\"queued\":0,\"in_flight\":" + using.values().stream().mapToInt(n -> n).sum()
        + ",\"kv_used\":0,\"kv_total\":250000,\"handles\":0,\"state\":\"ready\"}";
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
    if (adapter.isEmpty()) {
      return 200;
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
    java.util.Set<String> all = new java.util.TreeSet<>(held.keySet());
    all.addAll(pending.keySet());
    long needed = MODEL_MB + all.size() * adapterMb;
    if (needed > weightMb) {
      overloaded.accept(MODEL + " and the adapters " + all + ": " + needed + " of " + weightMb + " MB");
      crash();
      return 202;
    }
    Thread.ofVirtual().start(() -> load(adapter, version));
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
        Http.chunk(out, "id: " + event + "\ndata: " + id + " " + version + "\n\n");
      }
      out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
      return true;
    } finally {
      using.merge(adapter, -1, Integer::sum);
    }
  }
}
