import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A sound worker: a model worker with one model, or an application worker without one. */
final class Worker {

  static final String MODEL = "m0";
  private static final int ADAPTER_PLACES = 7;
  private static final long BEAT_MILLIS = 1_200;
  private volatile long eventMillis = 150;

  record Run(long at, String request, String path, String worker, String software, String headers) {}

  private final Lab lab;
  private final Store store;
  private final String service;
  private final String zone;
  private final String address;
  private final String ip;
  private final int port;
  private final boolean engine;
  final List<Run> runs;

  private volatile String id;
  private volatile String software;
  private volatile long born;
  private volatile boolean up;
  private volatile int events = 40;
  private volatile long workMillis = 30;
  private volatile boolean beating = true;
  private volatile boolean endless;
  private volatile double shedShare;
  private volatile int doubledEach = Integer.MAX_VALUE;
  private final AtomicInteger sheds = new AtomicInteger();
  private final long[] linkFree = {0};
  private Http.Server server;
  private final AtomicInteger inFlight = new AtomicInteger();
  private Map<String, Long> adapters = new TreeMap<>();
  private int sequence;
  private long highestFence;
  private int beats;

  Worker(Lab lab, Store store, String service, String zone, int host, int port, boolean engine,
      String id, String software, List<Run> runs) {
    this.lab = lab;
    this.store = store;
    this.service = service;
    this.zone = zone;
    this.ip = lab.ip(host);
    this.port = port;
    this.address = ip + ":" + port;
    this.engine = engine;
    this.id = id;
    this.software = software;
    this.runs = runs;
  }

  String id() {
    return id;
  }

  String address() {
    return address;
  }

  void setEventMillis(long millis) {
    eventMillis = millis;
  }

  void setEvents(int count) {
    events = count;
  }

  /** It turns a share of the requests away, and sends each so many-th of these answers twice. */
  void shed(double share, int doubled) {
    shedShare = share;
    doubledEach = doubled;
  }

  /** A model worker in trouble: its answers are failures, and their bodies have no end until the caller closes. */
  void sendWithoutEnd() {
    endless = true;
  }

  /** Starts with nothing of before; an entry in the store is written at once. */
  synchronized void start() throws IOException {
    born = System.currentTimeMillis();
    adapters = new TreeMap<>();
    sequence = 0;
    highestFence = 0;
    up = true;
    server = new Http.Server(ip, port, this::handle);
    lab.write("worker " + id + " starts, software " + software + ", born " + born);
    long mine = born;
    Thread.ofVirtual().start(() -> beat(mine));
  }

  /** Starts again under the id that it had, with this software. */
  void startAgain(String newSoftware) throws IOException {
    software = newSoftware;
    start();
  }

  /** Ends as a process that crashes: its connections are reset. */
  void crash() throws IOException {
    up = false;
    server.kill();
    lab.write("worker " + id + " crashes");
  }

  private void beat(long mine) {
    while (up && born == mine) {
      register();
      Lab.sleep(BEAT_MILLIS);
    }
  }

  /** Writes its entry in the store. */
  void register() {
    if (up && beating) {
      store.put("servers", id, row());
    }
  }

  private synchronized String models() {
    if (!engine) {
      return "[]";
    }
    List<String> names = new ArrayList<>();
    adapters.forEach((name, version) -> names.add("\"" + name + "@" + version + "\""));
    return "[{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":[" + String.join(",", names) + "]}]";
  }

  private synchronized String row() {
    return ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"%s\",\"slots\":%d,"
            + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"colocated\",\"models\":%s,"
            + "\"sequence\":%d,\"born\":%d,\"beat\":%d}")
        .formatted(service, address, zone, software, engine ? 64 : 6, models(), sequence, born, ++beats);
  }

  private void handle(Http.Request request, Http.Responder out) throws IOException {
    switch (request.path()) {
      case "/health" -> out.send(200, "X-Instance-Id: " + id + "\r\n", "ok");
      case "/-/report" -> report(out);
      case "/-/order" -> order(request, out);
      default -> run(request, out);
    }
  }

  private void report(Http.Responder out) throws IOException {
    String body;
    synchronized (this) {
      body =
          ("{\"stage\":\"colocated\",\"models\":%s,\"busy\":false,\"sequence\":%d,\"queued\":0,"
                  + "\"in_flight\":%d,\"kv_used\":0,\"kv_total\":254344,\"handles\":0,\"state\":\"ready\","
                  + "\"pending\":[],\"born\":%d}")
              .formatted(models(), sequence, inFlight.get(), born);
    }
    out.send(200, "Content-Type: application/json\r\n", body);
  }

  private void order(Http.Request request, Http.Responder out) throws IOException {
    String body = request.body();
    String expected = request.header("X-Expect-Instance");
    int status;
    synchronized (this) {
      long fence = Long.parseLong(field(body, "\"fence\"\\s*:\\s*(\\d+)"));
      String adapter = field(body, "\"adapter\"\\s*:\\s*\"([^\"]+)\"");
      boolean load = body.contains("\"load\"");
      if (expected != null && !expected.equals(id)) {
        status = 421;
      } else if (fence < highestFence) {
        status = 412;
      } else if (Integer.parseInt(field(body, "\"expected\"\\s*:\\s*(\\d+)")) != sequence) {
        status = 409;
      } else {
        highestFence = fence;
        sequence++;
        status = 202;
        if (load && !adapter.isEmpty()) {
          adapters.put(adapter, 1L);
          if (adapters.size() > ADAPTER_PLACES) {
            lab.write("worker " + id + " was ordered more adapters than it has places");
          }
        } else if (!adapter.isEmpty()) {
          adapters.remove(adapter);
        }
      }
    }
    out.send(status, status == 421 ? "X-Instance-Id: " + id + "\r\n" : "", "");
  }

  private static String field(String body, String pattern) {
    Matcher at = Pattern.compile(pattern).matcher(body);
    return at.find() ? at.group(1) : "";
  }

  private void run(Http.Request request, Http.Responder out) throws IOException {
    String requestId = request.header("X-Attempt-Id");
    String expected = request.header("X-Expect-Instance");
    if (requestId == null) {
      out.send(400, "X-Not-Executed: 1\r\n", "");
      return;
    }
    String mark = "X-Attempt-Id: " + requestId + "\r\nX-Response-Seal: seal." + requestId + "." + id + "\r\n";
    if (expected != null && !expected.equals(id)) {
      out.send(421, "X-Not-Executed: 1\r\nX-Instance-Id: " + id + "\r\nX-Attempt-Id: " + requestId + "\r\n", "");
      return;
    }
    if (out.surplus != null) {
      lab.write("worker " + id + " sends its second answer to an earlier request where that to " + requestId + " is expected");
      out.raw(out.surplus);
      out.surplus = null;
    }
    if (ThreadLocalRandom.current().nextDouble() < shedShare) {
      out.send(503, "X-Not-Executed: 1\r\n", "");
      if (sheds.incrementAndGet() % doubledEach == 0) {
        lab.write("worker " + id + " has turned " + sheds.get() + " requests away; this answer comes twice");
        out.surplus = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
      }
      return;
    }
    String model = request.header("X-Model");
    synchronized (this) {
      boolean held = model == null || model.equals(MODEL) || adapters.containsKey(model.substring(MODEL.length() + 1));
      if (engine && !held) {
        out.send(421, "X-Not-Executed: 1\r\nX-Instance-Id: " + id + "\r\nX-Attempt-Id: " + requestId + "\r\n", "");
        return;
      }
    }
    String mine = software;
    runs.add(new Run(Lab.millis(), requestId, request.path(), id, mine, String.join("; ", request.headers())));
    inFlight.incrementAndGet();
    try {
      if (engine) {
        stream(request, out, mark, mine);
      } else {
        Lab.sleep(workMillis);
        out.send(200, mark + "Keep-Alive: timeout=30\r\n", "done by " + id + " for " + requestId);
      }
    } finally {
      inFlight.decrementAndGet();
    }
  }

  /** The machine's link takes 1,000 Mbit a second for all connections together. */
  private void awaitLink(int bytes) {
    long wait;
    synchronized (linkFree) {
      long now = System.nanoTime();
      linkFree[0] = Math.max(now - 2_000_000, linkFree[0]) + bytes * 8L;
      wait = linkFree[0] - now;
    }
    if (wait > 1_000_000) {
      Lab.sleep(wait / 1_000_000);
    }
  }

  private void stream(Http.Request request, Http.Responder out, String mark, String mine) throws IOException {
    String last = request.header("Last-Event-Id");
    int from = last == null ? 0 : Integer.parseInt(last);
    long mineBorn = born;
    String requestId = request.header("X-Attempt-Id");
    if (endless) {
      out.raw("HTTP/1.1 500 Failed\r\n" + mark + "Transfer-Encoding: chunked\r\n\r\n");
      byte[] part = ("10000\r\n" + "a".repeat(0x10000) + "\r\n").getBytes();
      long sent = 0;
      try {
        while (true) {
          out.raw(part);
          sent += part.length;
          awaitLink(part.length);
        }
      } finally {
        lab.write("worker " + id + " has sent " + sent + " bytes for " + requestId);
      }
    }
    out.raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + mark + "Transfer-Encoding: chunked\r\n\r\n");
    for (int event = from + 1; event <= events; event++) {
      Lab.sleep(eventMillis);
      if (!up || born != mineBorn) {
        return;
      }
      String text = "id: %d\ndata: %s %s\n\n".formatted(event, id, mine);
      out.raw(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
    out.raw("0\r\n\r\n");
  }
}
