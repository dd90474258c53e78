import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The store comes back from a copy, and the operator changes the configuration just after. */
final class CaseEra {

  private static final int WORKERS = 9;
  private static final int REQUESTS = 20;

  /** What the rule leaves: contact_ms, config_apply_ms and outer_ms. */
  private static final long BOUND_MILLIS = 3_000 + 2_000 + 5_000;

  private static String tenants(String keys) {
    return ",\"tenants\":[{\"name\":\"depot\",\"api_keys\":[" + keys + "]}]";
  }

  public static void main(String[] arguments) throws Exception {
    try (Lab lab = new Lab()) {
      Store store = new Store(lab.ip(1), Lab.STORE);
      lab.addSettings("bounds.strict_revoke=true", "bounds.revoke_ms=5000");
      store.listenToo(lab.ip(2), Lab.STORE);
      lab.storeHosts.put(11, 2);
      List<Worker.Run> runs = Collections.synchronizedList(new ArrayList<>());
      List<Worker> workers = new ArrayList<>();
      for (int i = 0; i < WORKERS; i++) {
        String service = i < 5 ? "haul-api" : "yard-api";
        Worker worker = new Worker(lab, store, service, "marka", 31 + i, Lab.APP, false, "i-" + service.substring(0, 4) + i, "v1", runs);
        workers.add(worker);
        worker.start();
        Lab.sleep(130);
      }
      String services = Configuration.plain("haul-api") + "," + Configuration.plain("yard-api");
      String kept = Configuration.route("keep", "/keep/", "idempotent", 1_500, 193, "haul-api", 2, false);
      String before = Configuration.of(5, kept
          + "," + Configuration.route("book", "/book/", "non_idempotent", 1_500, 193, "haul-api", 1, false)
          + "," + Configuration.route("gone", "/gone/", "non_idempotent", 1_500, 193, "haul-api", 1, false), services, tenants("\"key-one\",\"key-two\""));
      String after = Configuration.of(8, kept
          + "," + Configuration.route("book", "/book/", "non_idempotent", 1_500, 193, "yard-api", 1, false), services, tenants("\"key-one\""));
      store.put("op", "config", before);
      Lab.Machine first = lab.entry(11, "marka");
      Lab.Machine second = lab.entry(12, "marka");
      Lab.Machine third = lab.entry(13, "marka");
      List<Lab.Machine> entries = List.of(first, second, third);
      for (Lab.Machine entry : entries) {
        lab.awaitReady(entry, 20_000);
      }
      Lab.sleep(5_000);
      if (Lab.trouble()) {
        Store.Copy copy = store.copy();
        lab.write("copy of the store at version " + copy.version());
        Lab.sleep(3_000);
        lab.write("the store goes away at version " + store.version());
        store.turnSecondAway(true);
        store.goAway();
        Lab.sleep(1_000);
        store.comeBack(copy);
        lab.write("the store is back at version " + store.version() + ", era " + store.era()
            + "; entry-11 is turned away with 503");
        workers.forEach(Worker::register);
        Lab.sleep(300);
      }
      store.put("op", "config", after);
      long acknowledged = Lab.millis();
      lab.write("configuration 8 acknowledged at version " + store.version());
      Lab.sleep(3_700);
      store.turnSecondAway(false);
      lab.write("entry-11 is served by the store, which is at version " + store.version());
      Lab.sleep(BOUND_MILLIS + 1_000);
      int broken = 0;
      int ran = 0;
      for (int i = 0; i < REQUESTS; i++) {
        for (Lab.Machine entry : entries) {
          for (String route : List.of("/book/", "/gone/", "/keep/")) {
            String id = Caller.newId();
            long sent = Lab.millis();
            // The second key was taken away; it is sent where the route itself is still there.
            String key = route.equals("/keep/") ? "key-two" : "key-one";
            Caller.Answer answer = Caller.send(lab.ip(entry.host), "POST", route + i, id, 1_500, "Api-Key: " + key + "\r\n");
            String worker = runs.stream().filter(run -> run.request().equals(id)).map(Worker.Run::worker).findFirst().orElse("");
            boolean old = route.equals("/book/") ? worker.startsWith("i-haul") : !worker.isEmpty();
            lab.write("%s%d with %s sent %d ms after the acknowledgement to %s: %s, run by %s%s".formatted(
                route, i, key, sent - acknowledged, entry.name(), answer.text(), worker.isEmpty() ? "nobody" : worker,
                old ? " -- only configuration 5 allows this" : ""));
            broken += old ? 1 : 0;
            ran += worker.isEmpty() ? 0 : 1;
          }
        }
      }
      for (Lab.Machine entry : entries) {
        entry.log().stream().filter(line -> line.contains("CONFIGURATION_IN_FORCE")).forEach(line -> lab.write(entry.name() + ": " + line));
      }
      if (ran == 0) {
        lab.exit(2, "nothing ran");
      }
      lab.exit(broken > 0 ? 1 : 0, broken + " of " + 3 * entries.size() * REQUESTS + " requests were handled as only the older configuration allows");
    }
  }
}
