import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/** Many processes are killed at once while workers of two software versions serve. */
final class CaseHerd {

  private static final int WORKERS = 6;
  private static final int ENTRIES = 6;
  private static final int STREAMS = 24;
  private static final long DEADLINE_MILLIS = 12_000;

  public static void main(String[] arguments) throws Exception {
    try (Lab lab = new Lab()) {
      Store store = new Store(lab.ip(1), Lab.STORE);
      List<Worker.Run> runs = Collections.synchronizedList(new ArrayList<>());
      List<Worker> workers = new ArrayList<>();
      for (int i = 0; i < WORKERS; i++) {
        Worker worker = new Worker(lab, store, "lm-dispatch", "marka", 21 + i, Lab.APP, true, "i-w" + i, i % 2 == 0 ? "v1" : "v2", runs);
        workers.add(worker);
        worker.start();
        Lab.sleep(150);
      }
      store.put("op", "config", Configuration.of(3,
          Configuration.route("chat", "/chat/", "streaming", 12_000, 600, "lm-dispatch", 2, true),
          Configuration.ENGINE));
      List<Lab.Machine> entries = new ArrayList<>();
      List<Lab.Machine> agents = new ArrayList<>();
      for (int i = 0; i < ENTRIES; i++) {
        entries.add(lab.entry(11 + i, "marka"));
      }
      for (int i = 0; i < WORKERS; i++) {
        agents.add(lab.agent(21 + i, "marka", "lm-dispatch"));
      }
      for (Lab.Machine entry : entries) {
        lab.awaitReady(entry, 30_000);
      }
      Lab.sleep(6_000);
      List<Caller.Answer> resumed = Collections.synchronizedList(new ArrayList<>());
      List<Caller.Answer> fresh = Collections.synchronizedList(new ArrayList<>());
      CountDownLatch done = new CountDownLatch(2 * STREAMS);
      for (int i = 0; i < STREAMS; i++) {
        int number = i;
        Thread.ofVirtual().start(() -> { stream(lab, number, resumed); done.countDown(); });
        Lab.sleep(20);
      }
      Lab.sleep(2_500);
      lab.write("the entry of the streams is killed" + (Lab.trouble() ? ", and all agents" : ""));
      if (Lab.trouble()) {
        agents.forEach(Lab.Machine::kill);
      }
      entries.get(0).kill();
      for (int i = 0; i < STREAMS; i++) {
        int number = 100 + i;
        Thread.ofVirtual().start(() -> {
          String entry = lab.ip(12 + number % (ENTRIES - 1));
          Caller.Answer answer = Caller.send(entry, "POST", "/chat/s" + number, Caller.newId(), DEADLINE_MILLIS, headers(number));
          fresh.add(answer);
          done.countDown();
        });
        Lab.sleep(20);
      }
      Lab.sleep(500);
      entries.get(0).start();
      if (Lab.trouble()) {
        for (Lab.Machine agent : agents) {
          agent.start();
        }
      }
      done.await();
      long went = resumed.stream().filter(answer -> answer.status == 200 && !answer.events().isEmpty()).count();
      long began = fresh.stream().filter(answer -> answer.status == 200 && !answer.events().isEmpty()).count();
      resumed.forEach(answer -> lab.write("taken up: " + answer.id + " " + answer.text() + " after " + answer.tookMillis + " ms, last event " + answer.lastEvent() + " " + (answer.status == 200 ? "" : answer.body)));
      fresh.forEach(answer -> lab.write("new: " + answer.id + " " + answer.text() + " after " + answer.tookMillis + " ms, last event " + answer.lastEvent()));
      if (resumed.size() < 12 || began < STREAMS / 2) {
        lab.exit(2, resumed.size() + " streams were taken up and " + began + " new ones began");
      }
      boolean broken = (double) went / resumed.size() < 0.5 * began / fresh.size();
      lab.exit(broken ? 1 : 0, went + " of " + resumed.size() + " streams that were taken up went on, " + began + " of " + fresh.size() + " new ones began");
    }
  }

  private static String headers(int number) {
    return "X-Model: m0\r\nX-Token-Count: 826,280\r\nX-Prompt-Prefix: 5c1e07a2:198,91bd" + (1000 + number) + ":628\r\n";
  }

  /** A client: one try, and after the break one more on a new connection at another entry. */
  private static void stream(Lab lab, int number, List<Caller.Answer> resumed) {
    long start = Lab.millis();
    String path = "/chat/s" + number;
    Caller.Answer answer = Caller.send(lab.ip(11), "POST", path, Caller.newId(), DEADLINE_MILLIS, headers(number));
    String last = answer.lastEvent();
    lab.write("broken off: " + answer.id + " " + answer.text() + " last event " + last);
    if (last.isEmpty() || answer.complete) {
      return;
    }
    resumed.add(Caller.send(lab.ip(12 + number % (ENTRIES - 1)), "POST", path, Caller.newId(), DEADLINE_MILLIS - (Lab.millis() - start),
        headers(number) + "Last-Event-Id: " + last + "\r\nResumes: " + answer.id + "\r\n"));
  }
}
