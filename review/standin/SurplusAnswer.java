import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * For five seconds two of three workers follow three in a hundred of their answers with additional
 * bytes, which arrive where the next answer on the connection is expected. Does a client get them?
 */
final class SurplusAnswer {

  private static final int WORKERS = 3;
  private static final int FAULTY = 2;
  private static final double SHARE = 0.03;
  private static final int CLIENTS = 9;
  private static final int WORK_MILLIS = 30;
  private static final long BEGIN_MILLIS = 2_000;
  private static final long END_MILLIS = 7_000;
  private static final long PLAY_MILLIS = 9_000;

  private static final List<String> record = new ArrayList<>();
  private static final Map<String, Integer> results = new TreeMap<>();
  private static final Set<String> ran = ConcurrentHashMap.newKeySet();
  private static final AtomicInteger surplus = new AtomicInteger();
  private static int foreign;
  private static volatile long start = Long.MAX_VALUE;

  private SurplusAnswer() {}

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

  /** A worker; a faulty one owes some connections additional bytes after their last answer. */
  private static final class Worker {
    private final String id;
    private final String zone;
    private final boolean faulty;
    private final Store store;
    private final Http.Server server;
    private final Random random;
    private final Map<Socket, byte[]> owed = new ConcurrentHashMap<>();

    Worker(int number, String zone, boolean faulty, Store store) throws Exception {
      this.id = "i-02d9e6b" + number;
      this.zone = zone;
      this.faulty = faulty;
      this.store = store;
      this.random = new Random(number);
      this.server = new Http.Server("127.0.0." + (41 + number), 0, this::handle);
    }

    void start() {
      server.start();
      Thread.ofVirtual().start(this::beat);
    }

    private void beat() {
      try {
        for (int beats = 1; ; beats++) {
          store.put(
              "servers",
              id,
              "{\"service\":\"xano55b\",\"address\":\"" + server.address() + "\",\"zone\":\"" + zone
                  + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
                  + "\"cold_remaining_ms\":0,\"sequence\":" + beats + "}");
          Thread.sleep(1_200);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private boolean handle(Http.Message request, Socket connection, OutputStream out)
        throws Exception {
      String attempt = request.header("x-attempt-id");
      byte[] additional = owed.remove(connection);
      if (additional != null) {
        surplus.incrementAndGet();
        note(id + " sends additional bytes after an earlier answer; next on the connection is "
            + attempt);
        out.write(additional);
        out.flush();
      }
      if (request.word(1).equals("/health")) {
        Http.answer(out, 200, "X-Instance-Id: " + id + "\r\n", new byte[0]);
        return true;
      }
      ran.add(attempt);
      Thread.sleep(WORK_MILLIS);
      byte[] body = body(attempt);
      String seal = "X-Response-Seal: " + id + "." + attempt + "\r\n";
      Http.answer(out, 200, "X-Attempt-Id: " + attempt + "\r\n" + seal, body);
      long since = Clock.millis() - start;
      if (faulty && since > BEGIN_MILLIS && since < END_MILLIS && random.nextDouble() < SHARE) {
        java.io.ByteArrayOutputStream again = new java.io.ByteArrayOutputStream();
        Http.answer(again, 200, seal, body);
        owed.put(connection, again.toByteArray());
      }
      return true;
    }
  }

  private static byte[] body(String attempt) {
    return ("record of " + attempt).getBytes(StandardCharsets.UTF_8);
  }

  private static int play(Path work, boolean trouble) throws Exception {
    Store store = new Store("127.0.0.1");
    String[] zones = {"marka", "sahab", "ruseifa"};
    for (int i = 0; i < WORKERS; i++) {
      new Worker(i, zones[i], trouble && i < FAULTY, store).start();
    }
    store.put(
        "op",
        "config",
        "{\"version\":7,\"routes\":[{\"name\":\"r-fetch\",\"host\":\"" + Site.HOST
            + "\",\"prefix\":\"/fetch/\",\"kind\":\"idempotent\",\"timeout_ms\":800,"
            + "\"target_latency_ms\":193,\"priority\":2,\"service\":\"xano55b\",\"attempts\":2}],"
            + "\"services\":[" + Site.plainService("xano55b") + "]," + Site.limits() + "}");
    int front = Site.freePort("127.0.0.1");
    Program entry =
        new Program(
            "entry", work, "entry",
            Site.entry("front-marka-1", "127.0.0.1", front, Site.freePort("127.0.0.1"),
                Site.freePort("127.0.0.1"), store.address()));
    entry.start();
    Thread.sleep(5_000);
    start = Clock.millis();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      clients.add(Thread.ofVirtual().start(() -> client(front, number)));
    }
    for (Thread client : clients) {
      client.join();
    }
    note("ended " + results + ", run " + ran.size() + ", additional bytes " + surplus
        + ", successes with the body of another request " + foreign);
    if (ran.isEmpty() || (trouble && surplus.get() == 0)) {
      return 2;
    }
    return foreign > 0 ? 1 : 0;
  }

  private static void client(int front, int number) {
    for (int i = 0; Clock.millis() - start < PLAY_MILLIS; i++) {
      String attempt = String.format("9c41%04x%08x", number, i);
      try (Socket socket = new Socket("127.0.0.1", front)) {
        socket.setSoTimeout(1_500);
        String request =
            "GET /fetch/" + attempt + " HTTP/1.1\r\nHost: " + Site.HOST + "\r\nX-Attempt-Id: "
                + attempt + "\r\nX-Time-Budget: 1500\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        InputStream in = new BufferedInputStream(socket.getInputStream());
        Http.Message answer = Http.read(in);
        count(attempt, answer);
        Thread.sleep(20);
      } catch (Exception e) {
        note("request " + attempt + ": " + e.getMessage());
      }
    }
  }

  private static synchronized void count(String attempt, Http.Message answer) {
    String status = answer == null ? "closed" : answer.word(1);
    results.merge(status, 1, Integer::sum);
    if (status.equals("200") && !java.util.Arrays.equals(answer.body(), body(attempt))) {
      foreign++;
      note("request " + attempt + " gets 200, seal " + answer.header("x-response-seal")
          + ", body \"" + new String(answer.body(), StandardCharsets.UTF_8) + "\"");
    }
  }
}
