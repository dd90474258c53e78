import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;

/** Streams while workers start again under their ids with another version of their software. */
final class CaseOrder {

  private static final int WORKERS = 4;

  /** How many workers crash and start again, one after the other. */
  private static final int CRASHES = 3;

  /** How many of them, the first ones, start again with the later software. */
  private static final int UPGRADED = 2;

  private static final int STREAMS = 160;
  private static final long DEADLINE_MILLIS = 12_000;

  public static void main(String[] arguments) throws Exception {
    try (Lab lab = new Lab()) {
      Store store = new Store(lab.ip(1), Lab.STORE);
      List<Worker.Run> runs = Collections.synchronizedList(new ArrayList<>());
      List<Worker> workers = new ArrayList<>();
      for (int i = 0; i < WORKERS; i++) {
        Worker worker = new Worker(lab, store, "lm-dispatch", "marka", 21 + i, Lab.APP, true, "i-w" + i, "v1", runs);
        workers.add(worker);
        worker.setEvents(70);
        worker.start();
        Lab.sleep(150);
      }
      store.put("op", "config", Configuration.of(3,
          Configuration.route("chat", "/chat/", "streaming", 12_000, 600, "lm-dispatch", 2, true),
          Configuration.ENGINE));
      List<Lab.Machine> entries = List.of(lab.entry(11, "marka"), lab.entry(12, "marka"));
      for (int i = 0; i < WORKERS; i++) {
        lab.agent(21 + i, "marka", "lm-dispatch");
      }
      for (Lab.Machine entry : entries) {
        lab.awaitReady(entry, 20_000);
      }
      Lab.sleep(4_000);
      List<List<Caller.Answer>> streams = new ArrayList<>();
      CountDownLatch done = new CountDownLatch(STREAMS);
      for (int i = 0; i < STREAMS; i++) {
        List<Caller.Answer> tries = Collections.synchronizedList(new ArrayList<>());
        streams.add(tries);
        int number = i;
        Thread.ofVirtual().start(() -> { stream(lab, number, tries); done.countDown(); });
        Lab.sleep(25);
      }
      Lab.sleep(300);
      if (Lab.trouble()) {
        for (int i = 0; i < CRASHES; i++) {
          workers.get(i).crash();
          Lab.sleep(1_500);
          workers.get(i).startAgain(i < UPGRADED ? "v2" : "v1");
          Lab.sleep(1_000);
        }
      }
      done.await();
      int mixed = 0;
      int whole = 0;
      for (List<Caller.Answer> tries : streams) {
        Set<String> versions = new TreeSet<>();
        int events = 0;
        StringBuilder text = new StringBuilder();
        for (Caller.Answer answer : tries) {
          for (String event : answer.events()) {
            versions.add(event.substring(event.lastIndexOf(' ') + 1));
            events++;
          }
          text.append("  try ").append(answer.id).append(' ').append(answer.text())
              .append(" last event ").append(answer.lastEvent());
        }
        lab.write("stream with " + events + " events of software " + versions + ":" + text);
        mixed += versions.size() > 1 ? 1 : 0;
        whole += tries.get(tries.size() - 1).complete && tries.get(tries.size() - 1).status == 200 ? 1 : 0;
      }
      for (Worker.Run run : runs) {
        lab.write("run at " + run.at() + " ms of " + run.request() + " at " + run.worker() + " software " + run.software());
      }
      for (Lab.Machine entry : entries) {
        lab.write(entry.name() + ": " + entry.log().stream().filter(line -> line.contains("STREAM_RESUMED")).count() + " streams resumed");
      }
      if (!Lab.trouble() && whole < STREAMS) {
        lab.exit(2, "only " + whole + " streams were complete without trouble");
      }
      lab.exit(mixed > 2 ? 1 : 0, mixed + " of " + STREAMS + " streams hold events of two software versions, " + whole + " came to their end");
    }
  }

  /** A client: one try, and one more on a new connection at the other entry. */
  private static void stream(Lab lab, int number, List<Caller.Answer> tries) {
    long start = Lab.millis();
    String path = "/chat/s" + number;
    String headers = "X-Model: m0\r\nX-Token-Count: 826,280\r\nX-Prompt-Prefix: 5c1e07a2:198,91bd3f" + (10 + number) + ":628\r\n";
    int entry = 11 + number % 2;
    Caller.Answer answer = Caller.send(lab.ip(entry), "POST", path, Caller.newId(), DEADLINE_MILLIS, headers);
    tries.add(answer);
    if (answer.complete && answer.status == 200) {
      return;
    }
    String last = answer.lastEvent();
    if (!last.isEmpty()) {
      headers += "Last-Event-Id: " + last + "\r\nResumes: " + answer.id + "\r\n";
    }
    long left = DEADLINE_MILLIS - (Lab.millis() - start);
    String after = Http.header(answer.headers, "Retry-After");
    if (after != null) {
      long wait = Math.min(left / 3, Math.round(Double.parseDouble(after) * 1000));
      Lab.sleep(wait);
      left -= wait;
    }
    tries.add(Caller.send(lab.ip(23 - entry), "POST", path, Caller.newId(), left, headers));
  }
}
