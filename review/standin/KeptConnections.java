import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Thirty clients send ordinary requests to one entry, each over one kept connection. The check is
 * that of the rule CONFIG for requests that are unanswered at their route's timeout_ms.
 */
final class KeptConnections {

  private static final int CLIENTS = 30;
  private static final long PLAY_MILLIS = 90_000;
  private static final long GAP_MILLIS = 430;
  private static final int BODY_BYTES = 18_000;
  private static final int ANSWER_BYTES = 800;
  private static final int WORK_MILLIS = 30;
  private static final int SLOTS = 16;
  private static final long TIMEOUT_MILLIS = 800;
  private static final long DEADLINE_MILLIS = 1_500;
  private static final long SLACK_MILLIS = 500;
  private static final int REQUESTS_OF_SHORT_CONNECTION = 20;

  private static final List<String> record = new ArrayList<>();
  private static final Map<String, Integer> answers = new TreeMap<>();
  private static final AtomicInteger sent = new AtomicInteger();
  private static final AtomicInteger ran = new AtomicInteger();

  /** Requests without an answer at their route's timeout_ms, and half a second after it. */
  private static int unansweredAtTimeout;

  private static int unansweredLater;

  private KeptConnections() {}

  private static synchronized void note(String text) {
    String line = Clock.millis() + " ms: " + text;
    record.add(line);
    System.out.println(line);
  }

  public static void main(String[] arguments) throws Exception {
    Path folder = Path.of(arguments[0]);
    boolean kept = !"0".equals(System.getenv("TROUBLE"));
    Path work = Files.createTempDirectory("review");
    int result = 2;
    try {
      result = play(work, kept);
    } catch (Exception e) {
      note("could not run: " + e);
    }
    note("exit " + result);
    Files.write(folder.resolve("record.txt"), record);
    Runtime.getRuntime().exit(result);
  }

  private static int play(Path work, boolean kept) throws Exception {
    Store store = new Store("127.0.0.1");
    Plain worker = new Plain("127.0.0.21", "i-02d9e6b4", "xano55b", store, SLOTS);
    worker.answer = request -> {
      ran.incrementAndGet();
      Thread.sleep(WORK_MILLIS);
      return new byte[ANSWER_BYTES];
    };
    worker.start();
    store.put(
        "op",
        "config",
        "{\"version\":7,\"routes\":[{\"name\":\"r-book\",\"host\":\"" + Site.HOST
            + "\",\"prefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeout_ms\":"
            + TIMEOUT_MILLIS + ",\"target_latency_ms\":193,\"priority\":2,"
            + "\"service\":\"xano55b\",\"attempts\":1}],\"services\":["
            + Site.plainService("xano55b") + "]," + Site.limits() + "}");
    int front = Site.freePort("127.0.0.1");
    int readiness = Site.freePort("127.0.0.1");
    Program entry =
        new Program(
            "entry", work, "entry",
            Site.entry("front-marka-1", "127.0.0.1", front, readiness, Site.freePort("127.0.0.1"),
                store.address()));
    entry.start();
    Thread.sleep(4_000);
    String before = ready(readiness);
    note("readiness before the traffic: " + before);
    if (!before.contains("200")) {
      return 2;
    }
    long end = Clock.millis() + PLAY_MILLIS;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      clients.add(Thread.ofVirtual().start(() -> client(front, number, kept, end)));
    }
    while (Clock.millis() < end) {
      Thread.sleep(5_000);
      note(
          "sent " + sent + ", run " + ran + ", ended " + answers() + ", unanswered at timeout_ms "
              + unansweredAtTimeout + ", half a second later " + unansweredLater
              + "; process alive: " + entry.alive() + ", readiness: " + ready(readiness));
    }
    for (Thread client : clients) {
      client.join(DEADLINE_MILLIS);
    }
    note(
        "sent " + sent + ", run " + ran + ", ended " + answers() + ", unanswered at timeout_ms "
            + unansweredAtTimeout + ", of them unanswered half a second later " + unansweredLater);
    long failures =
        Files.readAllLines(entry.log().toPath()).stream()
            .filter(line -> line.contains("OutOfMemoryError"))
            .count();
    note("lines of the entry's log with OutOfMemoryError: " + failures);
    return unansweredAtTimeout >= 8 && 2 * unansweredLater > unansweredAtTimeout ? 1 : 0;
  }

  private static String answers() {
    synchronized (answers) {
      return answers.toString();
    }
  }

  private static void client(int front, int number, boolean kept, long end) {
    int onConnection = 0;
    Socket socket = null;
    InputStream in = null;
    try {
      Thread.sleep(number * GAP_MILLIS / CLIENTS);
      while (Clock.millis() < end) {
        long begin = Clock.millis();
        String how;
        try {
          if (socket == null) {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", front), 1_000);
            in = new BufferedInputStream(socket.getInputStream());
            onConnection = 0;
          }
          begin = Clock.millis();
          how = request(socket, in, number, begin);
          onConnection++;
        } catch (SocketTimeoutException e) {
          how = "given up at the deadline";
        } catch (Exception e) {
          how = "connection lost";
        }
        count(how, Clock.millis() - begin);
        if (!how.startsWith("status") || (!kept && onConnection == REQUESTS_OF_SHORT_CONNECTION)) {
          socket.close();
          socket = null;
        }
        Thread.sleep(Math.max(0, begin + GAP_MILLIS - Clock.millis()));
      }
      if (socket != null) {
        socket.close();
      }
    } catch (Exception e) {
      note("client " + number + " ends: " + e);
    }
  }

  private static String request(Socket socket, InputStream in, int number, long begin)
      throws Exception {
    String head =
        "POST /book/" + number + " HTTP/1.1\r\nHost: " + Site.HOST + "\r\nX-Attempt-Id: "
            + String.format("%08x%08x", number, sent.incrementAndGet()) + "\r\nX-Time-Budget: "
            + DEADLINE_MILLIS + "\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
    socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().write(new byte[BODY_BYTES]);
    socket.setSoTimeout((int) Math.max(1, begin + DEADLINE_MILLIS - Clock.millis()));
    Http.Message answer = Http.read(in);
    return answer == null ? "connection closed" : "status " + answer.word(1);
  }

  private static synchronized void count(String how, long took) {
    synchronized (answers) {
      answers.merge(how, 1, Integer::sum);
    }
    if (took > TIMEOUT_MILLIS) {
      unansweredAtTimeout++;
    }
    if (took > TIMEOUT_MILLIS + SLACK_MILLIS) {
      unansweredLater++;
    }
  }

  private static String ready(int port) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
      socket.setSoTimeout(1_000);
      String call = "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(call.getBytes(StandardCharsets.ISO_8859_1));
      Http.Message answer = Http.read(socket.getInputStream());
      return answer == null ? "connection closed" : answer.word(1);
    } catch (Exception e) {
      return "no answer";
    }
  }
}
