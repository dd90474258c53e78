import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Streams run at a worker of software v1. It starts again under the id that it had, with software
 * v2, and their clients take them up. Does a stream hold events of both?
 */
final class SoftwareOfStream {

  private static final int STREAMS = 5;
  private static final int EVENTS = 40;
  private static final long GAP_MILLIS = 200;
  private static final long DOWN_MILLIS = 1_000;
  private static final long BACK_AFTER_MILLIS = 4_500;
  private static final long DEADLINE_MILLIS = 15_100;

  private static final List<String> record = new ArrayList<>();
  private static final AtomicInteger joined = new AtomicInteger();
  private static final AtomicInteger complete = new AtomicInteger();

  private SoftwareOfStream() {}

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
    Map<String, Long> holds = new TreeMap<>();
    for (int i = 1; i <= STREAMS; i++) {
      holds.put("a" + i, 1L);
    }
    String[] zones = {"marka", "sahab"};
    String[] software = {"v1", "v2"};
    List<Engine> engines = new ArrayList<>();
    for (int i = 0; i < zones.length; i++) {
      Engine engine =
          new Engine(
              "127.0.0." + (11 + i), "i-7f3a91c" + i, "dele69a", zones[i], store,
              i == 0 ? holds : Map.of(), Map.of(), EVENTS, GAP_MILLIS, run -> note("run " + run));
      engine.life(software[i], System.currentTimeMillis());
      engines.add(engine);
    }
    store.put(
        "op",
        "config",
        "{\"version\":7,\"routes\":[{\"name\":\"r-chat\",\"host\":\"" + Site.HOST
            + "\",\"prefix\":\"/chat/\",\"kind\":\"streaming\",\"timeout_ms\":15100,"
            + "\"target_latency_ms\":607,\"priority\":0,\"service\":\"dele69a\",\"attempts\":2,"
            + "\"session_affinity\":true,\"resumable\":true,\"gap_target_ms\":300}],\"services\":["
            + Site.engineService("dele69a", 64) + "]," + Site.limits() + "}");
    engines.forEach(Engine::start);
    int agentPorts = Site.freePort("127.0.0.11");
    int front = Site.freePort("127.0.0.1");
    for (int i = 0; i < zones.length; i++) {
      new Program(
              "agent", work, "agent" + i,
              Site.nilwave(
                  Site.agent("side-" + zones[i] + "-1", "127.0.0." + (11 + i), zones[i], agentPorts,
                      store.address(), engines.get(i).address(), "dele69a")))
          .start();
    }
    new Program(
            "entry", work, "entry",
            Site.nilwave(
                Site.entry("front-marka-1", "127.0.0.1", front, Site.freePort("127.0.0.1"),
                    agentPorts, store.address())))
        .start();
    Thread.sleep(6_000);
    CountDownLatch ended = new CountDownLatch(STREAMS);
    for (int i = 1; i <= STREAMS; i++) {
      int number = i;
      Thread.ofVirtual().start(() -> client(front, number, ended));
    }
    Thread.sleep(1_500);
    if (trouble) {
      engines.get(0).crash();
      note("worker " + engines.get(0).id() + " of v1 ends");
      Thread.sleep(DOWN_MILLIS);
      engines.get(0).startAgain("v2");
      note("worker " + engines.get(0).id() + " starts again, as v2");
    }
    if (!ended.await(20, TimeUnit.SECONDS)) {
      note("streams have not ended");
      return 2;
    }
    note("streams complete: " + complete + ", with events of two software versions: " + joined);
    if (complete.get() == 0 && joined.get() == 0 && !trouble) {
      return 2;
    }
    return joined.get() > 2 ? 1 : 0;
  }

  /** A client that takes its stream up once, with the id of the attempt that began it. */
  private static void client(int front, int number, CountDownLatch ended) {
    Set<String> from = new TreeSet<>();
    long begin = Clock.millis();
    String first = String.format("9c41d07be2a3%04x", number);
    int last = attempt(front, number, first, "", 0, begin, from);
    if (last < EVENTS) {
      try {
        Thread.sleep(BACK_AFTER_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      String second = String.format("9c41d07be2b3%04x", number);
      last = attempt(front, number, second, first, last, begin, from);
    }
    note("stream " + first + " ends at event " + last + ", written by " + from);
    if (last >= EVENTS) {
      complete.incrementAndGet();
    }
    if (from.size() > 1) {
      joined.incrementAndGet();
    }
    ended.countDown();
  }

  /** Returns the last event that arrived. */
  private static int attempt(
      int front, int number, String id, String resumes, int after, long begin, Set<String> from) {
    int last = after;
    try (Socket socket = new Socket("127.0.0.1", front)) {
      String request =
          "POST /chat/" + number + " HTTP/1.1\r\nHost: " + Site.HOST + "\r\nX-Attempt-Id: " + id
              + "\r\nX-Model: " + Engine.MODEL + "/a" + number
              + "\r\nX-Token-Count: 826,210\r\nX-Prompt-Prefix: 5c1e07a2:119,91bd3f" + number
              + ":707\r\nX-Time-Budget: " + (begin + DEADLINE_MILLIS - Clock.millis()) + "\r\n"
              + (resumes.isEmpty()
                  ? ""
                  : "Last-Event-Id: " + after + "\r\nResumes: " + resumes + "\r\n")
              + "Content-Length: 2\r\n\r\n{}";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Http.Message head = Http.head(in);
      note("attempt " + id + (resumes.isEmpty() ? "" : " after event " + after) + ": "
          + (head == null ? "closed" : "status " + head.word(1)));
      if (head == null || !head.word(1).equals("200")) {
        return last;
      }
      for (byte[] chunk = Http.chunk(in); chunk.length > 0; chunk = Http.chunk(in)) {
        for (String line : new String(chunk, StandardCharsets.UTF_8).split("\n")) {
          if (line.startsWith("id: ")) {
            last = Integer.parseInt(line.substring("id: ".length()).trim());
          } else if (line.startsWith("data: ")) {
            from.add(line.split(" ")[3]);
          }
        }
      }
    } catch (Exception e) {
      note("attempt " + id + " is cut after event " + last + ": " + e.getMessage());
    }
    return last;
  }
}
