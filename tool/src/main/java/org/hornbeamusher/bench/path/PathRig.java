package org.hornbeamusher.bench.path;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.hornbeamusher.clock.SystemClock;
import org.hornbeamusher.demo.Deployment;
import org.hornbeamusher.demo.PartnerPlan;
import org.hornbeamusher.entry.EntryDaemon;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpRequest;
import org.hornbeamusher.ids.AdapterName;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.load.LoadReport;
import org.hornbeamusher.load.LoadRunner;
import org.hornbeamusher.load.LoadSettings;
import org.hornbeamusher.load.Traffic;
import org.hornbeamusher.standin.EngineSettings;
import org.hornbeamusher.standin.EngineStandin;
import org.hornbeamusher.standin.WeightStoreStandin;

/**
 * Two engines with the same settings: one behind entry and agent, one that receives the load
 * directly.
 *
 * <p>There are as many adapters as an engine has slots, so that all adapter loads, for which both
 * paths would wait equally, happen during the warm-up.
 */
final class PathRig implements AutoCloseable {

  private static final int SLOTS = 8;
  private static final int PROMPT_CHARS = 200;
  private static final int CLIENT_THREADS = 2;
  private static final int WARM_UP_ROUNDS = 2;
  private static final long CONNECT_MILLIS = 4_000;
  private static final long ORDER_TIMEOUT_MILLIS = 10_000;

  private final PathCase load;
  private final PartnerPlan plan;
  private final Deployment deployment;
  private final WeightStoreStandin store = new WeightStoreStandin(SystemClock.INSTANCE, 1);
  private final EngineStandin engine;
  private final HttpClient client = new HttpClient(CLIENT_THREADS);

  PathRig(PathCase load) {
    this.load = load;
    PartnerPlan base = PartnerPlan.TAWHITI;
    this.plan =
        new PartnerPlan(
            base.partner(),
            base.team(),
            base.zones().subList(0, 1),
            base.modelService(),
            1,
            SLOTS,
            base.costWeights(),
            base.plainService(),
            base.plainInstanceCount(),
            base.nonRepeatablePath());
    EngineSettings settings =
        EngineSettings.of(0, SLOTS, load.batch()).withTokenMicros(load.tokenMicros());
    this.deployment = new Deployment(List.of(plan), settings);
    this.engine = new EngineStandin(settings, store, SystemClock.INSTANCE);
  }

  void start() throws InterruptedException {
    store.start();
    client.start();
    engine.start();
    adapters().forEach(this::loadAdapter);
    deployment.start();
    Thread.sleep(CONNECT_MILLIS);
  }

  /** Runs rounds until code is compiled and each adapter is resident at its endpoint. */
  void warmUp() throws InterruptedException {
    for (int i = 0; i < WARM_UP_ROUNDS; i++) {
      runDirect();
      runThroughEntry();
    }
  }

  LoadReport runDirect() throws InterruptedException {
    return run(List.of(engine.uri()), "");
  }

  LoadReport runThroughEntry() throws InterruptedException {
    List<URI> entries = deployment.entries(plan).stream().map(EntryDaemon::uri).toList();
    return run(entries, Deployment.callerToken(plan));
  }

  private LoadReport run(List<URI> targets, String token) throws InterruptedException {
    Traffic traffic =
        new Traffic.CompletionTraffic(adapters(), 0, 1, 1, PROMPT_CHARS, load.tokens());
    LoadSettings settings =
        LoadSettings.of(targets, token, load.requests(), load.requestsPerSecond(), traffic)
            .withMaxInFlight(load.inFlight());
    return new LoadRunner(settings, client).run();
  }

  private List<AdapterRef> adapters() {
    List<AdapterRef> adapters = new ArrayList<>();
    for (int i = 0; i < SLOTS; i++) {
      adapters.add(new AdapterRef(plan.modelService(), new AdapterName("a-" + i), 1));
    }
    return adapters;
  }

  private void loadAdapter(AdapterRef adapter) {
    String order = "{\"adapter\":\"" + adapter + "\",\"fencing\":1}";
    HttpRequest call =
        HttpRequest.postJson(
            engine.uri().resolve("/orders/load"), order.getBytes(StandardCharsets.UTF_8));
    client.send(call, ORDER_TIMEOUT_MILLIS).join();
  }

  @Override
  public void close() throws InterruptedException {
    deployment.stop();
    engine.stop();
    client.stop();
    store.stop();
  }
}
