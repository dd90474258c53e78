package org.hornbeamusher.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.hornbeamusher.admission.AdmissionPolicy;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.routing.EndpointLoad;
import org.hornbeamusher.scheduling.SchedulerSettings;

/** Simulates one policy variant under one load pattern. */
final class Simulation {

  private static final long DRAIN_MILLIS = 60_000;
  private static final double SLOWDOWN_FACTOR = 5;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final LoadPattern pattern;
  private final PolicyVariant variant;
  private final EventHeap events = new EventHeap();
  private final RunStatistics statistics =
      new RunStatistics(2 * SimulationSizes.WORKERS * SimulationSizes.BATCH);
  private final FakeWeightStore store = new FakeWeightStore(events, shares());
  private final List<FakeEndpoint> endpoints = new ArrayList<>();
  private final List<FakeEntry> entries = new ArrayList<>();

  private Simulation(LoadPattern pattern, PolicyVariant variant) {
    this.pattern = pattern;
    this.variant = variant;
  }

  static RunStatistics of(LoadPattern pattern, PolicyVariant variant, List<Arrival> arrivals) {
    Simulation run = new Simulation(pattern, variant);
    run.build();
    run.schedule(arrivals);
    run.events.runUntil(SimulationSizes.END_MILLIS + DRAIN_MILLIS);
    run.statistics.slotsChanged(run.events.now(), 0);
    return run.statistics;
  }

  private void build() {
    AtomicLong tickets = new AtomicLong();
    for (int zone = 0; zone < SimulationSizes.ENTRIES; zone++) {
      FakeEntry entry =
          new FakeEntry(
              zone, variant, pattern.pooled(), events, statistics, tickets::incrementAndGet);
      entries.add(entry);
    }
    for (Tenant tenant : List.of(Tenant.ZARQA, Tenant.TAWHITI)) {
      PoolName pool = pattern.pooled() ? Tenant.SHARED_POOL : tenant.ownPool();
      for (int worker = 0; worker < SimulationSizes.WORKERS; worker++) {
        addEndpoint(tenant, worker, pool);
      }
      for (FakeEntry entry : entries) {
        entry.addPool(pool, admission());
      }
    }
  }

  private AdmissionPolicy admission() {
    int workers = pattern.pooled() ? 2 * SimulationSizes.WORKERS : SimulationSizes.WORKERS;
    return new AdmissionPolicy(variant.admission(workers, shares()));
  }

  private static Map<PartnerId, Integer> shares() {
    return Map.of(Tenant.ZARQA.partner(), 1, Tenant.TAWHITI.partner(), 1);
  }

  private void addEndpoint(Tenant tenant, int worker, PoolName pool) {
    SchedulerSettings settings =
        new SchedulerSettings(
            SimulationSizes.ADAPTER_SLOTS,
            SimulationSizes.BATCH,
            (int) SimulationSizes.AGENT_QUEUE_LIMIT,
            SimulationSizes.MINIMUM_STAY_MILLIS,
            MILLIS_PER_SECOND / SimulationSizes.MILLIS_PER_TOKEN,
            SimulationSizes.LOAD_MILLIS,
            true,
            shares());
    FakeEndpoint endpoint =
        new FakeEndpoint(
            new EndpointId(tenant.service() + "-" + worker),
            worker % SimulationSizes.ZONES,
            tenant.partner(),
            variant.scheduler().apply(settings),
            events,
            store,
            statistics);
    endpoints.add(endpoint);
    entries.forEach(entry -> entry.choice.endpointJoined(endpoint, pool));
    report(endpoint, worker * SimulationSizes.REPORT_INTERVAL_MILLIS / SimulationSizes.WORKERS);
  }

  private void report(FakeEndpoint endpoint, long millis) {
    events.at(
        millis,
        () -> {
          EndpointLoad load = endpoint.load();
          events.after(
              SimulationSizes.REPORT_LAG_MILLIS,
              () -> entries.forEach(e -> e.choice.loadReported(endpoint, load, events.now())));
          if (events.now() < SimulationSizes.END_MILLIS + DRAIN_MILLIS) {
            report(endpoint, events.now() + SimulationSizes.REPORT_INTERVAL_MILLIS);
          }
        });
  }

  private void schedule(List<Arrival> arrivals) {
    for (Arrival arrival : arrivals) {
      events.at(
          arrival.millis(),
          () -> {
            statistics.requestOffered(arrival);
            entries.get(arrival.entry()).requestArrived(arrival);
          });
    }
    events.at(pattern.onsetMillis(), this::onset);
  }

  private void onset() {
    switch (pattern) {
      case SLOW_ENDPOINT -> endpoints.getFirst().slowdownFactor = SLOWDOWN_FACTOR;
      case RESTART -> endpoints.forEach(FakeEndpoint::restart);
      case LOADS_FAIL -> endpoints.forEach(endpoint -> endpoint.loadsFail = true);
      default -> {}
    }
  }
}
