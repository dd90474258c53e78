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

/** One row of decisions under one pattern of load. */
final class Run {

  private static final long DRAIN_MILLIS = 60_000;
  private static final double SLOW_TIMES = 5;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final Pattern pattern;
  private final Row row;
  private final EventHeap events = new EventHeap();
  private final Tally tally = new Tally(2 * Sizes.WORKERS * Sizes.BATCH);
  private final FakeStore store = new FakeStore(events, shares());
  private final List<FakeEndpoint> endpoints = new ArrayList<>();
  private final List<FakeEntry> entries = new ArrayList<>();

  private Run(Pattern pattern, Row row) {
    this.pattern = pattern;
    this.row = row;
  }

  static Tally of(Pattern pattern, Row row, List<Arrival> arrivals) {
    Run run = new Run(pattern, row);
    run.build();
    run.schedule(arrivals);
    run.events.runUntil(Sizes.END_MILLIS + DRAIN_MILLIS);
    run.tally.place(run.events.now(), 0);
    return run.tally;
  }

  private void build() {
    AtomicLong tickets = new AtomicLong();
    for (int zone = 0; zone < Sizes.ENTRIES; zone++) {
      FakeEntry entry =
          new FakeEntry(zone, row, pattern.pooled(), events, tally, tickets::incrementAndGet);
      entries.add(entry);
    }
    for (Tenant tenant : List.of(Tenant.ZARQA, Tenant.TAWHITI)) {
      PoolName pool = pattern.pooled() ? Tenant.SHARED_POOL : tenant.ownPool();
      for (int worker = 0; worker < Sizes.WORKERS; worker++) {
        addEndpoint(tenant, worker, pool);
      }
      for (FakeEntry entry : entries) {
        entry.serve(pool, admission());
      }
    }
  }

  private AdmissionPolicy admission() {
    int workers = pattern.pooled() ? 2 * Sizes.WORKERS : Sizes.WORKERS;
    return new AdmissionPolicy(row.admission(workers, shares()));
  }

  private static Map<PartnerId, Integer> shares() {
    return Map.of(Tenant.ZARQA.partner(), 1, Tenant.TAWHITI.partner(), 1);
  }

  private void addEndpoint(Tenant tenant, int worker, PoolName pool) {
    SchedulerSettings settings =
        new SchedulerSettings(
            Sizes.SLOTS,
            Sizes.BATCH,
            (int) Sizes.AGENT_QUEUE,
            Sizes.MINIMUM_STAY_MILLIS,
            MILLIS_PER_SECOND / Sizes.MILLIS_PER_TOKEN,
            Sizes.LOAD_MILLIS,
            true,
            shares());
    FakeEndpoint endpoint =
        new FakeEndpoint(
            new EndpointId(tenant.service() + "-" + worker),
            worker % Sizes.ZONES,
            tenant.partner(),
            row.scheduler().apply(settings),
            events,
            store,
            tally);
    endpoints.add(endpoint);
    entries.forEach(entry -> entry.choice.joined(endpoint, pool));
    report(endpoint, worker * Sizes.REPORT_EVERY_MILLIS / Sizes.WORKERS);
  }

  private void report(FakeEndpoint endpoint, long millis) {
    events.at(
        millis,
        () -> {
          EndpointLoad load = endpoint.load();
          events.after(
              Sizes.REPORT_LAG_MILLIS,
              () -> entries.forEach(e -> e.choice.reported(endpoint, load, events.now())));
          if (events.now() < Sizes.END_MILLIS + DRAIN_MILLIS) {
            report(endpoint, events.now() + Sizes.REPORT_EVERY_MILLIS);
          }
        });
  }

  private void schedule(List<Arrival> arrivals) {
    for (Arrival arrival : arrivals) {
      events.at(
          arrival.millis(),
          () -> {
            tally.offered(arrival);
            entries.get(arrival.entry()).arrived(arrival);
          });
    }
    events.at(pattern.onsetMillis(), this::onset);
  }

  private void onset() {
    switch (pattern) {
      case SLOW_ENDPOINT -> endpoints.getFirst().slowness = SLOW_TIMES;
      case RESTART -> endpoints.forEach(FakeEndpoint::restart);
      case LOADS_FAIL -> endpoints.forEach(endpoint -> endpoint.loadsFail = true);
      default -> {}
    }
  }
}
