import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A worker turns requests away, and some of these answers come twice, the second one late. */
final class CaseTwice {

  private static final int WORKERS = 3;
  private static final int PER_SECOND = 100;
  private static final long RUN_MILLIS = 85_000;
  private static final long TIMEOUT_MILLIS = 1_500;

  /** How long the worker is in trouble, and how often that begins. */
  private static final long TROUBLE_MILLIS = 5_000;

  private static final long EVERY_MILLIS = 6_500;
  private static final double SHED_SHARE = 0.45;

  /** Three in a hundred of the answers that turn a request away come twice. */
  private static final int DOUBLED_EACH = 33;

  public static void main(String[] arguments) throws Exception {
    try (Lab lab = new Lab()) {
      Store store = new Store(lab.ip(1), Lab.STORE);
      List<Worker.Run> runs = Collections.synchronizedList(new ArrayList<>());
      List<Worker> workers = new ArrayList<>();
      for (int i = 0; i < WORKERS; i++) {
        Worker worker = new Worker(lab, store, "haul-api", "marka", 31 + i, Lab.APP, false, "i-h" + i, "v1", runs);
        workers.add(worker);
        worker.start();
      }
      store.put("op", "config", Configuration.of(5,
          Configuration.route("book", "/book/", "non_idempotent", (int) TIMEOUT_MILLIS, 193, "haul-api", 1, false), Configuration.plain("haul-api")));
      List<Lab.Machine> entries = List.of(lab.entry(11, "marka"), lab.entry(12, "marka"));
      for (Lab.Machine entry : entries) {
        lab.awaitReady(entry, 20_000);
      }
      Lab.sleep(4_000);
      Map<String, Caller.Answer> answers = new ConcurrentHashMap<>();
      long start = Lab.millis();
      long end = start + RUN_MILLIS;
      long next = System.nanoTime();
      Worker inTrouble = null;
      int seen = 0;
      for (int i = 0; Lab.millis() < end; i++) {
        boolean troubled = Lab.trouble() && (Lab.millis() - start) % EVERY_MILLIS >= EVERY_MILLIS - TROUBLE_MILLIS;
        if (troubled && inTrouble == null) {
          inTrouble = busiest(workers, runs, seen);
          inTrouble.shed(SHED_SHARE, DOUBLED_EACH);
          lab.write("worker " + inTrouble.id() + " is in trouble");
        } else if (!troubled && inTrouble != null) {
          inTrouble.shed(0, DOUBLED_EACH);
          inTrouble = null;
          seen = runs.size();
        }
        String id = Caller.newId();
        String entry = lab.ip(11 + i % 2);
        Thread.ofVirtual().start(() -> answers.put(id, Caller.send(entry, "POST", "/book/b" + id, id, TIMEOUT_MILLIS, "")));
        next += 1_000_000_000L / PER_SECOND;
        Lab.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
      }
      Lab.sleep(TIMEOUT_MILLIS + 1_000);
      Map<String, List<Worker.Run>> byRequest = new HashMap<>();
      for (Worker.Run run : List.copyOf(runs)) {
        byRequest.computeIfAbsent(run.request(), unused -> new ArrayList<>()).add(run);
      }
      int twice = 0;
      int refused = 0;
      for (Map.Entry<String, List<Worker.Run>> one : byRequest.entrySet()) {
        Caller.Answer answer = answers.get(one.getKey());
        int status = answer == null ? 0 : answer.status;
        boolean promised = status == 503 || status == 429 || status == 408 || status == 421;
        if (one.getValue().size() > 1 || promised) {
          StringBuilder text = new StringBuilder("booking " + one.getKey() + ", answered " + status + ":");
          one.getValue().forEach(run -> text.append(" run by ").append(run.worker()).append(" at ").append(run.at()).append(" ms"));
          lab.write(text.toString());
        }
        twice += one.getValue().size() > 1 ? 1 : 0;
        refused += promised ? 1 : 0;
      }
      long served = answers.values().stream().filter(answer -> answer.status == 200).count();
      if (served < answers.size() / 2) {
        lab.exit(2, "only " + served + " of " + answers.size() + " bookings served");
      }
      lab.exit(twice + refused > 0 ? 1 : 0, twice + " bookings ran twice; " + refused + " ran and were answered as not run; " + served + " of " + answers.size() + " served");
    }
  }

  /** Returns the worker that has run the most since a number of runs. */
  private static Worker busiest(List<Worker> workers, List<Worker.Run> runs, int since) {
    List<Worker.Run> recent = List.copyOf(runs);
    Worker found = workers.get(0);
    long most = -1;
    for (Worker worker : workers) {
      long count = recent.subList(since, recent.size()).stream().filter(run -> run.worker().equals(worker.id())).count();
      if (count > most) {
        most = count;
        found = worker;
      }
    }
    return found;
  }
}
