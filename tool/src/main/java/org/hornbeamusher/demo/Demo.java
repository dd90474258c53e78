package org.hornbeamusher.demo;

import java.io.PrintStream;
import java.net.URI;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.hornbeamusher.entry.EntryDaemon;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.ids.AdapterName;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.load.LoadReport;
import org.hornbeamusher.load.LoadRunner;
import org.hornbeamusher.load.LoadSettings;
import org.hornbeamusher.load.Traffic;
import org.hornbeamusher.standin.EngineSettings;

/**
 * Runs the deployments of both partners with about 15 seconds of load and checks the outcomes.
 *
 * <p>While the workload runs, an engine restarts without resident adapters, an agent drains, and a
 * team submits a new document version. The demo fails when a response was wrong, a request was lost
 * or repeated, an adapter was unloaded while in use, a draining endpoint got new requests, or the
 * new document version did not become current everywhere.
 */
public final class Demo {

  private static final int SLOTS = 8;
  private static final int BATCH = 16;
  private static final int WORKLOAD_SECONDS = 15;
  private static final int MODEL_RATE = 120;
  private static final int PLAIN_RATE = 40;
  private static final int MAX_TOKENS = 32;
  private static final int PROMPT_CHARACTERS = 120;

  /**
   * Zipf exponent. With this value 97 % of the requests are for the 48 most popular adapters, as
   * many as the engines of a pool have slots for.
   */
  private static final double ZIPF_EXPONENT = 1.8;

  private static final double STREAMED_SHARE = 0.5;
  private static final double NON_REPEATABLE_SHARE = 0.1;
  private static final double RESEND_SHARE = 0.5;
  private static final long DEADLINE_MILLIS = 8_000;
  private static final long START_TIMEOUT_MILLIS = 30_000;
  private static final long POLL_INTERVAL_MILLIS = 50;
  private static final int RESTART_SECOND = 4;
  private static final int DRAIN_SECOND = 7;
  private static final int CHANGE_SECOND = 10;

  /**
   * Time after the drain order in which an endpoint may still get requests that were already on
   * their way.
   */
  private static final long DRAIN_GRACE_MILLIS = 2_000;

  private final PrintStream out;
  private final List<String> failures = new ArrayList<>();

  /**
   * Creates a demo.
   *
   * @param out stream to print progress and results to
   */
  public Demo(PrintStream out) {
    this.out = out;
  }

  /**
   * Runs the demo.
   *
   * @return 0, or 1 if a check failed
   * @throws InterruptedException when interrupted
   */
  public int run() throws InterruptedException {
    List<PartnerPlan> plans = List.of(PartnerPlan.ZARQA, PartnerPlan.TAWHITI);
    Deployment deployment = new Deployment(plans, EngineSettings.of(0, SLOTS, BATCH));
    HttpClient client = new HttpClient(2);
    out.println("demo: starting 6 entries, 18 agents and their stand-ins");
    deployment.start();
    client.start();
    try {
      plans.forEach(plan -> preloadAdapters(deployment, plan));
      awaitReady(deployment, plans);
      Map<String, LoadReport> reports = runWorkload(deployment, client, plans);
      checkEngines(deployment);
      return reportResult(deployment, reports);
    } finally {
      client.stop();
      deployment.stop();
    }
  }

  /** Makes the most popular adapters resident, as in engines that have run for a while. */
  private static void preloadAdapters(Deployment deployment, PartnerPlan plan) {
    for (int engine = 0; engine < plan.engineCount(); engine++) {
      int first = engine;
      List<AdapterRef> popular =
          IntStream.range(0, SLOTS - 1)
              .mapToObj(n -> adapter(plan, first + n * plan.engineCount()))
              .toList();
      deployment
          .engines()
          .get(new EndpointId(plan.modelService() + "-" + engine))
          .makeResident(popular);
    }
  }

  private void awaitReady(Deployment deployment, List<PartnerPlan> plans)
      throws InterruptedException {
    int endpoints = deployment.agents().size();
    for (long waited = 0; waited < START_TIMEOUT_MILLIS; waited += POLL_INTERVAL_MILLIS) {
      boolean ready =
          plans.stream()
              .flatMap(plan -> deployment.entries(plan).stream())
              .allMatch(entry -> entry.routableEndpointCount() == endpoints);
      if (ready) {
        out.printf("demo: ready, every entry reaches %d endpoints%n", endpoints);
        return;
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    failures.add("not every entry reached every endpoint within 30 s");
  }

  private Map<String, LoadReport> runWorkload(
      Deployment deployment, HttpClient client, List<PartnerPlan> plans)
      throws InterruptedException {
    Map<String, CompletableFuture<LoadReport>> running = new LinkedHashMap<>();
    for (PartnerPlan plan : plans) {
      running.put(plan.modelService().value(), startLoad(client, modelLoad(deployment, plan)));
      running.put(plan.plainService().value(), startLoad(client, plainLoad(deployment, plan)));
    }
    ScheduledExecutorService script = Executors.newSingleThreadScheduledExecutor();
    schedule(script, RESTART_SECOND, () -> restartEngine(deployment));
    schedule(script, DRAIN_SECOND, () -> drainAgent(deployment));
    schedule(script, CHANGE_SECOND, () -> changeDocument(deployment));
    Map<String, LoadReport> reports = new LinkedHashMap<>();
    running.forEach((service, report) -> reports.put(service, report.join()));
    script.shutdown();
    if (!script.awaitTermination(START_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
      failures.add("the changes in the middle did not end");
    }
    return reports;
  }

  private void schedule(ScheduledExecutorService script, int second, Runnable change) {
    script.schedule(
        () -> {
          try {
            change.run();
          } catch (HornbeamusherException e) {
            failures.add("second " + second + ": " + e.getMessage());
          }
        },
        second,
        TimeUnit.SECONDS);
  }

  private static CompletableFuture<LoadReport> startLoad(HttpClient client, LoadSettings settings) {
    CompletableFuture<LoadReport> report = new CompletableFuture<>();
    Thread.ofPlatform()
        .name("demo-load")
        .start(
            () -> {
              try {
                report.complete(new LoadRunner(settings, client).run());
              } catch (InterruptedException | RuntimeException e) {
                report.completeExceptionally(e);
              }
            });
    return report;
  }

  private static LoadSettings modelLoad(Deployment deployment, PartnerPlan plan) {
    List<AdapterRef> adapters =
        IntStream.range(0, plan.adapterCount()).mapToObj(n -> adapter(plan, n)).toList();
    Traffic traffic =
        new Traffic.CompletionTraffic(
            adapters, ZIPF_EXPONENT, 0, STREAMED_SHARE, PROMPT_CHARACTERS, MAX_TOKENS);
    return LoadSettings.of(
            uris(deployment, plan),
            Deployment.callerToken(plan),
            MODEL_RATE * WORKLOAD_SECONDS,
            MODEL_RATE,
            traffic)
        .withDeadline(DEADLINE_MILLIS)
        .withNonRepeatable(NON_REPEATABLE_SHARE, RESEND_SHARE);
  }

  private static LoadSettings plainLoad(Deployment deployment, PartnerPlan plan) {
    return LoadSettings.of(
            uris(deployment, plan),
            Deployment.callerToken(plan),
            PLAIN_RATE * WORKLOAD_SECONDS,
            PLAIN_RATE,
            new Traffic.PlainServiceTraffic(plan.plainService(), plan.nonRepeatablePath()))
        .withNonRepeatable(1, RESEND_SHARE);
  }

  private static List<URI> uris(Deployment deployment, PartnerPlan plan) {
    return deployment.entries(plan).stream().map(EntryDaemon::uri).toList();
  }

  private static AdapterRef adapter(PartnerPlan plan, int number) {
    return new AdapterRef(plan.modelService(), new AdapterName("a-" + number), 1);
  }

  private void restartEngine(Deployment deployment) {
    EndpointId endpoint = new EndpointId(PartnerPlan.ZARQA.modelService() + "-2");
    out.printf("demo: second %d, engine %s restarts cold%n", RESTART_SECOND, endpoint);
    deployment.engines().get(endpoint).restart();
  }

  private void drainAgent(Deployment deployment) {
    EndpointId endpoint = new EndpointId(PartnerPlan.TAWHITI.modelService() + "-4");
    out.printf("demo: second %d, the agent of %s drains%n", DRAIN_SECOND, endpoint);
    deployment.agents().get(endpoint).drain();
    pause(DRAIN_GRACE_MILLIS);
    long before = runs(deployment, endpoint);
    pause(DRAIN_GRACE_MILLIS / 2);
    if (runs(deployment, endpoint) != before) {
      failures.add("endpoint " + endpoint + " got new work 2 s after its agent was drained");
    }
  }

  private static long runs(Deployment deployment, EndpointId endpoint) {
    return deployment.engines().get(endpoint).counts().runs().values().stream()
        .mapToLong(Long::longValue)
        .sum();
  }

  private void changeDocument(Deployment deployment) {
    PartnerPlan plan = PartnerPlan.ZARQA;
    String text = deployment.documentText(plan).replace("queue = 256", "queue = 200");
    long version = deployment.submit(plan, text, 1);
    for (long waited = 0; waited < START_TIMEOUT_MILLIS; waited += POLL_INTERVAL_MILLIS) {
      if (deployment.hasVersionEverywhere(plan.modelService(), version)) {
        out.printf(
            "demo: second %d, version %d of %s accepted, in force in every process after"
                + " about %d ms%n",
            CHANGE_SECOND, version, plan.modelService(), waited);
        return;
      }
      pause(POLL_INTERVAL_MILLIS);
    }
    failures.add("version " + version + " of " + plan.modelService() + " did not come into force");
  }

  private void checkEngines(Deployment deployment) {
    deployment
        .engines()
        .forEach(
            (endpoint, engine) -> {
              if (engine.counts().unloadsInUse() > 0) {
                failures.add("an adapter was unloaded at " + endpoint + " while it served");
              }
            });
  }

  private int reportResult(Deployment deployment, Map<String, LoadReport> reports) {
    DemoTable.print(out, deployment, reports);
    int requests = 0;
    int answered = 0;
    int wrong = 0;
    int lost = 0;
    long repeated = deployment.repeatedRuns();
    for (LoadReport report : reports.values()) {
      requests += report.requests();
      answered += report.answered();
      wrong += report.wrong();
      lost += report.lost();
      repeated += report.repeated();
    }
    failures.forEach(what -> out.println("demo: broken: " + what));
    out.printf(
        "demo: %d requests, %d answered, %d refused, %d wrong, %d lost, %d repeated%n",
        requests, answered, requests - answered - wrong - lost, wrong, lost, repeated);
    return failures.isEmpty() && wrong + lost + repeated == 0 ? 0 : 1;
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
