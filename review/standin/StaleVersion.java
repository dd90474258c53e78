import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Streams run on version 1 of their adapters; version 2 is acknowledged; later than version_ms
 * after that one worker crashes. Which version do the runs that follow begin on?
 */
final class StaleVersion {

  private static final int STREAMS = 6;
  private static final int EVENTS = 42;
  private static final long GAP_MILLIS = 240;
  private static final long VERSION_MILLIS = 5_000;
  private static final long CRASH_AFTER_MILLIS = 6_500;

  private static final List<String> record = new ArrayList<>();

  private StaleVersion() {}

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
    Map<String, Long> newest = new ConcurrentHashMap<>();
    Map<String, Long> holds = new TreeMap<>();
    for (int i = 1; i <= STREAMS; i++) {
      newest.put("a" + i, 1L);
      holds.put("a" + i, 1L);
    }
    ConcurrentLinkedQueue<Engine.Run> runs = new ConcurrentLinkedQueue<>();
    List<Engine> engines = new ArrayList<>();
    String[] zones = {"marka", "sahab"};
    for (int i = 0; i < zones.length; i++) {
      engines.add(
          new Engine(
              "127.0.0." + (11 + i), "i-7f3a91c" + i, "dele69a", zones[i], store, holds, newest,
              EVENTS, GAP_MILLIS,
              run -> {
                runs.add(run);
                note("run " + run);
              }));
    }
    store.put(
        "op",
        "config",
        "{\"version\":7,\"routes\":[{\"name\":\"r-chat\",\"host\":\"" + Site.HOST
            + "\",\"prefix\":\"/chat/\",\"kind\":\"streaming\",\"timeout_ms\":12000,"
            + "\"target_latency_ms\":600,\"priority\":0,\"service\":\"dele69a\",\"attempts\":2,"
            + "\"session_affinity\":true,\"resumable\":true,\"gap_target_ms\":300}],\"services\":["
            + Site.engineService("dele69a", 64) + "]," + Site.limits() + "}");
    engines.forEach(Engine::start);
    int agentPorts = Site.freePort("127.0.0.11");
    int front = Site.freePort("127.0.0.1");
    List<Program> programs = new ArrayList<>();
    for (int i = 0; i < zones.length; i++) {
      programs.add(
          new Program(
              "agent", work, "agent" + i,
              Site.agent("side-" + zones[i] + "-1", "127.0.0." + (11 + i), zones[i], agentPorts,
                  store.address(), engines.get(i).address(), "dele69a")));
    }
    programs.add(
        new Program(
            "entry", work, "entry",
            Site.entry("front-marka-1", "127.0.0.1", front, Site.freePort("127.0.0.1"), agentPorts,
                store.address())));
    for (Program program : programs) {
      program.start();
    }
    Thread.sleep(6_000);
    CountDownLatch ended = new CountDownLatch(STREAMS);
    for (int i = 1; i <= STREAMS; i++) {
      int number = i;
      Thread.ofVirtual().start(() -> stream(front, number, ended));
    }
    Thread.sleep(1_000);
    if (runs.size() != STREAMS) {
      note("only " + runs.size() + " of " + STREAMS + " streams run");
      return 2;
    }
    for (int i = 1; i <= STREAMS; i++) {
      newest.put("a" + i, 2L);
      store.put(
          "op", "version/" + Engine.MODEL + ".a" + i,
          "{\"model\":\"" + Engine.MODEL + "\",\"adapter\":\"a" + i + "\",\"version\":2}");
    }
    long acknowledged = Clock.millis();
    note("version 2 of every adapter is acknowledged");
    Thread.sleep(CRASH_AFTER_MILLIS);
    if (trouble) {
      String busiest =
          runs.stream().filter(run -> run.at().equals(engines.get(0).id())).count() * 2 >= STREAMS
              ? engines.get(0).id()
              : engines.get(1).id();
      Engine victim = engines.stream().filter(e -> e.id().equals(busiest)).findFirst().get();
      victim.crash();
      note("worker " + victim.id() + " crashes");
    }
    if (!ended.await(15, TimeUnit.SECONDS)) {
      note("streams have not ended");
      return 2;
    }
    long late =
        runs.stream()
            .filter(run -> run.version() < 2 && run.atMillis() > acknowledged + VERSION_MILLIS)
            .count();
    long later =
        runs.stream().filter(run -> run.atMillis() > acknowledged + VERSION_MILLIS).count();
    note(
        "runs that began later than " + VERSION_MILLIS + " ms after the acknowledgement: " + later
            + ", of them on the older version: " + late);
    if (trouble && later == 0) {
      return 2;
    }
    return late > 0 ? 1 : 0;
  }

  private static void stream(int front, int number, CountDownLatch ended) {
    String id = String.format("9c41d07be2a3%04x", number);
    try (Socket socket = new Socket("127.0.0.1", front)) {
      String request =
          "POST /chat/" + number + " HTTP/1.1\r\nHost: " + Site.HOST + "\r\nX-Attempt-Id: " + id
              + "\r\nX-Model: " + Engine.MODEL + "/a" + number
              + "\r\nX-Token-Count: 826,294\r\nX-Prompt-Prefix: 5c1e07a2:119,91bd3f" + number
              + ":707\r\nX-Time-Budget: 12000\r\nContent-Length: 2\r\n\r\n{}";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Http.Message head = Http.head(in);
      note("stream " + id + " on a" + number + ": " + (head == null ? "no answer" : head.first()));
      StringBuilder versions = new StringBuilder();
      int events = 0;
      for (byte[] chunk = Http.chunk(in); chunk.length > 0; chunk = Http.chunk(in)) {
        for (String line : new String(chunk, StandardCharsets.UTF_8).split("\n")) {
          if (line.startsWith("data: ")) {
            events++;
            String from = line.substring("data: ".length());
            if (versions.indexOf(from) < 0) {
              versions.append(versions.isEmpty() ? "" : ", then ").append(from);
            }
          }
        }
      }
      note("stream " + id + " is complete, " + events + " events from worker and version "
          + versions);
    } catch (IOException e) {
      note("stream " + id + " ended early: " + e.getMessage());
    } finally {
      ended.countDown();
    }
  }
}
