import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker has room for three adapters beside its model, though it has seven places. Streams ask
 * for more adapters than have room. Is the worker ordered to load more than weight_mb holds?
 */
final class Overload {

  private static final long WEIGHT_MB = 66_500;
  private static final long ADAPTER_MB = 400;
  private static final int ROOM = 3;
  private static final int EVENTS = 20;
  private static final long GAP_MILLIS = 100;
  private static final int ROUNDS = 3;

  private static final List<String> record = new ArrayList<>();
  private static final AtomicInteger overloads = new AtomicInteger();
  private static final AtomicInteger complete = new AtomicInteger();

  private Overload() {}

  private static synchronized void note(String text) {
    String line = Clock.millis() + " ms: " + text;
    record.add(line);
    System.out.println(line);
  }

  public static void main(String[] arguments) throws Exception {
    Path folder = Path.of(arguments[0]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path work = Files.createTempDirectory("review");
    int result = 2;
    try {
      result = play(work, trouble);
    } catch (Exception e) {
      note("could not run: " + e);
    }
    note("exit " + result);
    Files.write(folder.resolve("record.txt"), record);
    Runtime.getRuntime().exit(result);
  }

  private static int play(Path work, boolean trouble) throws Exception {
    Store store = new Store("127.0.0.1");
    Engine engine =
        new Engine(
            "127.0.0.31", "i-7f3a91c2", "dele69a", "marka", store, Map.of(), Map.of(), EVENTS,
            GAP_MILLIS, run -> note("run " + run));
    engine.limit(
        WEIGHT_MB, ADAPTER_MB,
        what -> {
          overloads.incrementAndGet();
          note("the worker is ordered to load more than it holds and crashes: " + what);
        });
    store.put(
        "op",
        "config",
        "{\"version\":7,\"routes\":[{\"name\":\"r-chat\",\"host\":\"" + Site.HOST
            + "\",\"prefix\":\"/chat/\",\"kind\":\"streaming\",\"timeout_ms\":12000,"
            + "\"target_latency_ms\":600,\"priority\":0,\"service\":\"dele69a\",\"attempts\":2,"
            + "\"session_affinity\":true,\"resumable\":true,\"gap_target_ms\":300}],\"services\":["
            + Site.engineService("dele69a", 64, ADAPTER_MB) + "]," + Site.limits() + "}");
    engine.start();
    int agentPorts = Site.freePort("127.0.0.31");
    int front = Site.freePort("127.0.0.1");
    Program agent =
        new Program(
            "agent", work, "agent",
            Site.agent("side-marka-1", "127.0.0.31", "marka", agentPorts, store.address(),
                engine.address(), "dele69a"));
    Program entry =
        new Program(
            "entry", work, "entry",
            Site.entry("front-marka-1", "127.0.0.1", front, Site.freePort("127.0.0.1"), agentPorts,
                store.address()));
    agent.start();
    entry.start();
    Thread.sleep(6_000);
    int adapters = trouble ? ROOM + 2 : ROOM;
    for (int round = 0; round < ROUNDS && overloads.get() == 0; round++) {
      CountDownLatch ended = new CountDownLatch(adapters);
      for (int i = 1; i <= adapters; i++) {
        int number = i;
        String id = String.format("9c41d07be2a3%02x%02x", round, i);
        Thread.ofVirtual().start(() -> stream(front, number, id, ended));
      }
      if (!ended.await(15, TimeUnit.SECONDS)) {
        note("streams have not ended");
      }
    }
    note("complete streams: " + complete + ", orders beyond weight_mb: " + overloads);
    if (overloads.get() > 0) {
      return 1;
    }
    return complete.get() == 0 ? 2 : 0;
  }

  private static void stream(int front, int number, String id, CountDownLatch ended) {
    int events = 0;
    try (Socket socket = new Socket("127.0.0.1", front)) {
      String request =
          "POST /chat/" + number + " HTTP/1.1\r\nHost: " + Site.HOST + "\r\nX-Attempt-Id: " + id
              + "\r\nX-Model: " + Engine.MODEL + "/a" + number
              + "\r\nX-Token-Count: 826,140\r\nX-Prompt-Prefix: 5c1e07a2:119,91bd3f" + number
              + ":707\r\nX-Time-Budget: 12000\r\nContent-Length: 2\r\n\r\n{}";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Http.Message head = Http.head(in);
      if (head == null || !head.word(1).equals("200")) {
        note("stream " + id + " on a" + number + ": "
            + (head == null ? "closed" : "status " + head.word(1)));
        return;
      }
      for (byte[] chunk = Http.chunk(in); chunk.length > 0; chunk = Http.chunk(in)) {
        events++;
      }
      complete.incrementAndGet();
      note("stream " + id + " on a" + number + " is complete, " + events + " events");
    } catch (Exception e) {
      note("stream " + id + " on a" + number + " is cut after " + events + " events: "
          + e.getMessage());
    } finally {
      ended.countDown();
    }
  }
}
