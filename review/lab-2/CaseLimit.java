import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A worker that names a limit is cut off from the store for some seconds. */
final class CaseLimit {

  private static final int ENTRIES = 4;
  private static final int PER_SECOND = 60;
  private static final double LIMIT = 1.0;
  private static final long CONTACT_MILLIS = 3_000;
  private static final long WINDOW_MILLIS = 4_000;

  public static void main(String[] arguments) throws Exception {
    try (Lab lab = new Lab()) {
      Store store = new Store(lab.ip(1), Lab.STORE);
      List<Worker.Run> runs = Collections.synchronizedList(new ArrayList<>());
      for (int i = 0; i < 2; i++) {
        new Worker(lab, store, "lm-dispatch", "marka", 21 + i, Lab.APP, true, "i-m" + i, "v1", runs).start();
      }
      List<Worker> workers = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        Worker worker = new Worker(lab, store, "haul-api", "marka", 31 + i, Lab.APP, false, "i-h" + i, "v1", runs);
        worker.start();
        workers.add(worker);
      }
      store.put("op", "config", Configuration.of(5,
          Configuration.route("look", "/look/", "idempotent", 1_500, 193, "haul-api", 2, false)
          + "," + Configuration.route("chat", "/chat/", "streaming", 12_000, 600, "lm-dispatch", 2, true),
          Configuration.plain("haul-api") + "," + Configuration.ENGINE));
      List<Lab.Machine> entries = new ArrayList<>();
      for (int i = 0; i < ENTRIES; i++) {
        entries.add(lab.entry(11 + i, "marka"));
      }
      lab.agent(21, "marka", "lm-dispatch");
      lab.agent(22, "marka", "lm-dispatch");
      for (Lab.Machine entry : entries) {
        lab.awaitReady(entry, 20_000);
      }
      Lab.sleep(5_000);
      Worker inNeed = workers.get(0);
      Map<String, Integer> entryOf = new ConcurrentHashMap<>();
      /** When each entry first passed on an answer that names the limit. */
      Map<Integer, Long> named = new ConcurrentHashMap<>();
      long end = Lab.millis() + 40_000;
      List<Caller.Answer> answers = Collections.synchronizedList(new ArrayList<>());
      Thread traffic = Thread.ofVirtual().start(() -> {
        long next = System.nanoTime();
        for (int i = 0; Lab.millis() < end; i++) {
          int entry = 11 + i % ENTRIES;
          String id = Caller.newId();
          entryOf.put(id, entry);
          Thread.ofVirtual().start(() -> {
            Caller.Answer answer = Caller.send(lab.ip(entry), "GET", "/look/x" + id, id, 1_500, "");
            answers.add(answer);
            if (Http.header(answer.headers, "Server-Limit") != null) {
              named.putIfAbsent(entry, Lab.millis());
            }
          });
          next += 1_000_000_000L / PER_SECOND;
          Lab.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
        }
      });
      Lab.sleep(5_000);
      inNeed.inNeed(Double.toString(LIMIT), 340);
      lab.write("worker " + inNeed.id() + " names the limit " + LIMIT);
      Lab.sleep(15_000);
      if (Lab.trouble()) {
        inNeed.cutFromStore(6_000);
      }
      traffic.join();
      Lab.sleep(2_000);
      long first = named.values().stream().min(Long::compare).orElse(Long.MAX_VALUE);
      lab.write("entries that passed the limit on, and when: " + named);
      List<Long> counted = new ArrayList<>();
      for (Worker.Run run : List.copyOf(runs)) {
        Integer entry = entryOf.get(run.request());
        if (entry == null || !run.worker().equals(inNeed.id())) {
          continue;
        }
        Long known = named.get(entry);
        boolean counts = run.at() >= first + CONTACT_MILLIS && known != null && run.at() >= known + 500;
        if (run.at() >= first) {
          lab.write("arrival at " + run.at() + " ms from entry-" + entry + (counts ? "" : ", not counted"));
        }
        if (counts) {
          counted.add(run.at());
        }
      }
      Collections.sort(counted);
      int most = 0;
      long at = 0;
      for (int i = 0; i < counted.size(); i++) {
        int last = i;
        while (last + 1 < counted.size() && counted.get(last + 1) - counted.get(i) < WINDOW_MILLIS) {
          last++;
        }
        if (last - i + 1 > most) {
          most = last - i + 1;
          at = counted.get(i);
        }
      }
      double allowed = 1.5 * LIMIT * WINDOW_MILLIS / 1000 + 5;
      long served = answers.stream().filter(answer -> answer.status == 200).count();
      if (named.size() < ENTRIES) {
        lab.exit(2, "only " + named.size() + " entries have passed the limit on");
      }
      lab.exit(most > allowed ? 1 : 0, most + " requests within 4 s from " + at + " ms, " + allowed + " are allowed; " + served + " of " + answers.size() + " requests served");
    }
  }
}
