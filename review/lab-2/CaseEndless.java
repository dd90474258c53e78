import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker in trouble sends bodies without end, while callers of another service come. */
final class CaseEndless {

  /** Callers of the other service; each sends its next booking after the answer. */
  private static final int BOOKERS = 8;

  /** Callers of the troubled service at once, in each round. */
  private static final int CALLERS = 4;

  private static final int ROUNDS = 1;
  private static final long ROUND_MILLIS = 13_000;
  private static final long TIMEOUT_MILLIS = 1_500;

  /** The deadline of the streams, the longest of the sheet. */
  private static final long STREAM_MILLIS = 12_000;

  /** How long the other service is called after the last answer without end. */
  private static final long AFTERWARDS_MILLIS = 30_000;

  /** Callers read slowly: a part of this size, and a pause. */
  private static final int PART_BYTES = 4096;

  private static final long READ_PAUSE_MILLIS = 20;

  public static void main(String[] arguments) throws Exception {
    try (Lab lab = new Lab()) {
      Store store = new Store(lab.ip(1), Lab.STORE);
      List<Worker.Run> runs = Collections.synchronizedList(new ArrayList<>());
      for (int i = 0; i < 3; i++) {
        new Worker(lab, store, "haul-api", "marka", 31 + i, Lab.APP, false, "i-h" + i, "v1", runs).start();
      }
      Worker troubled = new Worker(lab, store, "lm-dispatch", "marka", 41, Lab.APP, true, "i-m", "v1", runs);
      if (Lab.trouble()) {
        troubled.sendWithoutEnd();
      }
      troubled.start();
      String services = Configuration.plain("haul-api") + "," + Configuration.ENGINE;
      store.put("op", "config", Configuration.of(5,
          Configuration.route("book", "/book/", "non_idempotent", (int) TIMEOUT_MILLIS, 193, "haul-api", 1, false)
          + "," + Configuration.route("chat", "/chat/", "streaming", (int) STREAM_MILLIS, 600, "lm-dispatch", 2, true), services));
      Lab.Machine entry = lab.entry(11, "marka");
      lab.agent(41, "marka", "lm-dispatch");
      lab.awaitReady(entry, 20_000);
      Lab.sleep(5_000);
      List<Caller.Answer> bookings = Collections.synchronizedList(new ArrayList<>());
      AtomicInteger unready = new AtomicInteger();
      long end = Lab.millis() + 3_000 + ROUNDS * ROUND_MILLIS + AFTERWARDS_MILLIS;
      List<Thread> threads = new ArrayList<>();
      for (int c = 0; c < BOOKERS; c++) {
        threads.add(Thread.ofVirtual().start(() -> {
          while (Lab.millis() < end) {
            Caller.Answer answer = Caller.send(lab.ip(11), "POST", "/book/x", Caller.newId(), TIMEOUT_MILLIS + 600, "");
            bookings.add(answer);
            Lab.sleep(100);
          }
        }));
      }
      threads.add(Thread.ofVirtual().start(() -> {
        while (Lab.millis() < end) {
          if (!lab.ready(entry)) {
            unready.incrementAndGet();
            lab.write(entry.name() + " does not answer that it is ready; its process is " + (entry.alive() ? "there" : "gone"));
          }
          Lab.sleep(1_000);
        }
      }));
      Lab.sleep(3_000);
      for (int round = 0; round < ROUNDS; round++) {
        for (int c = 0; c < CALLERS; c++) {
          threads.add(Thread.ofVirtual().start(() -> chat(lab)));
        }
        Lab.sleep(ROUND_MILLIS);
      }
      troubled.crash();
      for (Thread thread : threads) {
        thread.join();
      }
      int atTimeout = 0;
      int later = 0;
      for (Caller.Answer answer : bookings) {
        boolean none = answer.status == 0;
        boolean ran = runs.stream().anyMatch(run -> run.request().equals(answer.id));
        if (none || answer.tookMillis > 200) {
          lab.write("booking " + answer.id + ": " + answer.text() + " after " + answer.tookMillis + " ms" + (ran ? ", it ran" : ""));
        }
        atTimeout += answer.tookMillis >= TIMEOUT_MILLIS ? 1 : 0;
        later += none && answer.tookMillis >= TIMEOUT_MILLIS + 500 ? 1 : 0;
      }
      for (String line : entry.log()) {
        if (line.contains("OutOfMemory")) {
          lab.write("log of " + entry.name() + ": " + line);
        }
      }
      String seen = later + " of " + atTimeout + " bookings that were unanswered at their route's timeout had no answer half a second later; "
          + bookings.size() + " bookings in all; " + entry.name() + " did not answer " + unready + " questions for its readiness; its process is " + (entry.alive() ? "there" : "gone");
      lab.exit(atTimeout >= 5 && 2 * later > atTimeout ? 1 : 0, seen);
    }
  }

  /** A caller that reads slowly, 200 KB a second. */
  private static void chat(Lab lab) {
    String id = Caller.newId();
    long total = 0;
    String why = "";
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(64 * 1024);
      socket.connect(new InetSocketAddress(lab.ip(11), Lab.CALLERS), 1_000);
      socket.setSoTimeout((int) STREAM_MILLIS);
      socket.getOutputStream().write(("POST /chat/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\nX-Time-Budget: " + STREAM_MILLIS + "\r\nX-Model: m0\r\nX-Token-Count: 826,280\r\nX-Prompt-Prefix: 5c1e07a2:198,91bd1:628\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
      InputStream in = socket.getInputStream();
      byte[] buffer = new byte[PART_BYTES];
      long end = Lab.millis() + STREAM_MILLIS;
      for (int count = in.read(buffer); count > 0 && Lab.millis() < end; count = in.read(buffer)) {
        total += count;
        Lab.sleep(READ_PAUSE_MILLIS);
        if (!Lab.trouble() && new String(buffer, 0, count, StandardCharsets.US_ASCII).endsWith("0\r\n\r\n")) {
          break;
        }
      }
    } catch (IOException e) {
      why = e.toString();
    }
    lab.write("the caller of " + id + " has read " + total + " bytes " + why);
  }
}
