import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Callers that send many requests, each on the connection that it keeps. */
final class CaseKept {

  /** The mean body of the sheet's largest kind of request. */
  private static final int BODY_BYTES = 18_000;

  private static final int CALLERS = 16;
  private static final long RUN_MILLIS = 85_000;

  /** With the time of an answer this makes about 100 requests a second: what the sheet of a small
   * deployment brings to all machines together, 41, with a burst of 2.4. */
  private static final long PAUSE_MILLIS = 100;
  private static final long TIMEOUT_MILLIS = 4_000;

  /** Both in one: the entry's answer to a request, and when it was sent. */
  private record Sent(long at, String id, String status, long took) {}

  public static void main(String[] arguments) throws Exception {
    try (Lab lab = new Lab()) {
      Store store = new Store(lab.ip(1), Lab.STORE);
      List<Worker.Run> runs = Collections.synchronizedList(new ArrayList<>());
      for (int i = 0; i < 3; i++) {
        Worker worker = new Worker(lab, store, "lm-dispatch", "marka", 21 + i, Lab.APP, true, "i-m" + i, "v1", runs);
        worker.setEvents(7);
        worker.setEventMillis(5);
        worker.start();
      }
      store.put("op", "config", Configuration.of(5,
          Configuration.route("roster", "/roster/", "streaming", (int) TIMEOUT_MILLIS, 800, "lm-dispatch", 2, true), Configuration.ENGINE));
      Lab.Machine entry = lab.entry(11, "marka");
      for (int i = 0; i < 3; i++) {
        lab.agent(21 + i, "marka", "lm-dispatch");
      }
      lab.awaitReady(entry, 20_000);
      Lab.sleep(5_000);
      List<Sent> all = Collections.synchronizedList(new ArrayList<>());
      AtomicInteger connections = new AtomicInteger();
      long end = Lab.millis() + RUN_MILLIS;
      List<Thread> threads = new ArrayList<>();
      for (int c = 0; c < CALLERS; c++) {
        threads.add(Thread.ofPlatform().start(() -> caller(lab, end, connections, all)));
      }
      long step = Lab.millis();
      int before = 0;
      while (Lab.millis() < end) {
        Lab.sleep(5_000);
        int now = all.size();
        List<Sent> recent = List.copyOf(all).subList(before, now);
        long bad = recent.stream().filter(one -> !one.status().equals("200 complete")).count();
        lab.write("%d requests answered or given up in 5 s, %d of them not with success; %d connections so far; ready %b".formatted(recent.size(), bad, connections.get(), lab.ready(entry)));
        before = now;
      }
      for (Thread thread : threads) {
        thread.join();
      }
      int atTimeout = 0;
      int later = 0;
      for (Sent one : all) {
        if (!one.status().equals("200 complete")) {
          lab.write("request " + one.id() + " sent at " + one.at() + " ms: " + one.status() + " after " + one.took() + " ms");
        }
        atTimeout += one.took() >= TIMEOUT_MILLIS ? 1 : 0;
        later += one.status().startsWith("none") && one.took() >= TIMEOUT_MILLIS + 500 ? 1 : 0;
      }
      long errors = entry.log().stream().filter(line -> line.contains("OutOfMemory")).peek(line -> lab.write("log of " + entry.name() + ": " + line)).count();
      lab.exit(atTimeout >= 5 && 2 * later > atTimeout ? 1 : 0, all.size() + " requests on " + connections + " connections; " + later + " of " + atTimeout
          + " that were unanswered at their route's timeout had no answer half a second later; " + errors + " lines of the log say that the memory is used up; the process is " + (entry.alive() ? "there" : "gone"));
    }
  }

  /** Sends one request after the other; on one connection, or without trouble each on a new one. */
  private static void caller(Lab lab, long end, AtomicInteger connections, List<Sent> all) {
    byte[] body = new byte[BODY_BYTES];
    java.util.Arrays.fill(body, (byte) 'a');
    while (Lab.millis() < end) {
      try (Socket socket = new Socket()) {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(lab.ip(11), Lab.CALLERS), 1_000);
        connections.incrementAndGet();
        InputStream in = new BufferedInputStream(socket.getInputStream());
        boolean kept = true;
        while (kept && Lab.millis() < end) {
          kept = request(socket, in, body, all) && Lab.trouble();
          Lab.sleep(PAUSE_MILLIS);
        }
      } catch (IOException e) {
        Lab.sleep(200);
      }
    }
  }

  /** Returns whether the connection may be used again. */
  private static boolean request(Socket socket, InputStream in, byte[] body, List<Sent> all) throws IOException {
    String id = Caller.newId();
    long start = Lab.millis();
    String status = "none";
    boolean close = true;
    try {
      socket.setSoTimeout((int) TIMEOUT_MILLIS + 600);
      socket.getOutputStream().write(("POST /roster/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\nX-Time-Budget: " + TIMEOUT_MILLIS
          + "\r\nX-Model: m0\r\nX-Token-Count: 9190,49\r\nX-Prompt-Prefix: 5c1e07a2:2520,91bd3f06:3780," + id.substring(0, 8) + ":2890\r\nContent-Length: " + body.length
          + (Lab.trouble() ? "" : "\r\nConnection: close") + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(body);
      String first = Http.line(in);
      if (first == null) {
        status = "closed";
        return false;
      }
      List<String> headers = Http.head(in);
      String length = Http.header(headers, "Content-Length");
      close = "close".equalsIgnoreCase(Http.header(headers, "Connection"));
      boolean complete = false;
      if (length != null) {
        complete = in.readNBytes(Integer.parseInt(length)).length == Integer.parseInt(length);
      } else {
        String size = Http.line(in);
        while (size != null) {
          int count = Integer.parseInt(size.trim(), 16);
          in.readNBytes(count);
          Http.line(in);
          if (count == 0) {
            complete = true;
            break;
          }
          size = Http.line(in);
        }
      }
      status = first.split(" ")[1] + (complete ? " complete" : " cut");
      return complete && !close;
    } catch (java.net.SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      status = "closed: " + e.getMessage();
      return false;
    } finally {
      all.add(new Sent(start, id, status, Lab.millis() - start));
    }
  }
}
