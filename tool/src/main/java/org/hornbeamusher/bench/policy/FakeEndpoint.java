package org.hornbeamusher.bench.policy;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.routing.EndpointLoad;
import org.hornbeamusher.scheduling.AgentAction;
import org.hornbeamusher.scheduling.AgentScheduler;
import org.hornbeamusher.scheduling.QueuedRequest;
import org.hornbeamusher.scheduling.SchedulerSettings;

/** A fake engine behind the real {@link AgentScheduler}. */
final class FakeEndpoint {

  private static final double LOAD_FAILURE_PROBABILITY = 0.3;
  private static final int CALLER_WEIGHT = 1;

  final EndpointId id;
  final int zone;

  /** The partner to which the load permits of this endpoint are charged. */
  final PartnerId owner;

  private final EventHeap events;
  private final FakeWeightStore store;
  private final RunStatistics statistics;
  private final AgentScheduler scheduler;
  private final SplittableRandom random;
  private final Map<Long, Attempt> attempts = new HashMap<>();
  private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);
  private int running;
  private long epoch;
  private long nextPoll = Long.MAX_VALUE;

  /** Factor by which the engine is slower than normal; 1 is normal speed. */
  double slowdownFactor = 1;

  boolean loadsFail;

  FakeEndpoint(
      EndpointId id,
      int zone,
      PartnerId owner,
      SchedulerSettings settings,
      EventHeap events,
      FakeWeightStore store,
      RunStatistics statistics) {
    this.id = id;
    this.zone = zone;
    this.owner = owner;
    this.events = events;
    this.store = store;
    this.statistics = statistics;
    this.scheduler = new AgentScheduler(settings);
    this.random = new SplittableRandom(id.value().hashCode());
  }

  void submit(Attempt attempt) {
    if (attempt.ended) {
      return;
    }
    Arrival arrival = attempt.arrival;
    attempts.put(attempt.ticket, attempt);
    scheduler.submit(
        new QueuedRequest(
            attempt.ticket,
            Optional.of(arrival.adapter()),
            arrival.tenant().partner(),
            arrival.tenant().service(),
            arrival.caller(),
            arrival.tokens(),
            events.now(),
            arrival.deadlineMillis(),
            arrival.tenant().weights(),
            1,
            CALLER_WEIGHT,
            (int) SimulationSizes.AGENT_QUEUE_LIMIT),
        events.now());
    poll();
  }

  void cancel(Attempt attempt) {
    if (attempts.remove(attempt.ticket) != null) {
      scheduler.cancel(attempt.ticket, events.now());
      if (attempt.startedMillis >= 0) {
        runStopped(attempt, false);
      }
      poll();
    }
  }

  void permitGranted() {
    scheduler.permitGranted(events.now());
    poll();
  }

  /** Restarts the engine: running requests and resident adapters are lost, queued ones stay. */
  void restart() {
    epoch++;
    prefixes.clear();
    scheduler.endpointRestarted(events.now());
    for (Attempt attempt : java.util.List.copyOf(attempts.values())) {
      if (attempt.startedMillis >= 0) {
        attempts.remove(attempt.ticket);
        runStopped(attempt, false);
        attempt.entry.attemptLost(attempt);
      }
    }
    poll();
  }

  EndpointLoad load() {
    return scheduler.endpointLoad(events.now());
  }

  private void poll() {
    for (AgentAction action : scheduler.poll(events.now())) {
      switch (action) {
        case AgentAction.Start start -> start(start);
        case AgentAction.Refuse refuse -> refuse(refuse.ticket(), refuse.type());
        case AgentAction.Load load -> beginLoad(load.adapter());
        case AgentAction.RequestPermit ask ->
            store.requestPermit(this, ask.partner(), ask.demand());
      }
    }
    long due = scheduler.nextPollMillis(events.now());
    if (due < nextPoll || nextPoll <= events.now()) {
      nextPoll = due;
      events.at(due, this::timer);
    }
  }

  private void timer() {
    if (events.now() >= nextPoll) {
      nextPoll = Long.MAX_VALUE;
      poll();
    }
  }

  private void start(AgentAction.Start start) {
    Attempt attempt = attempts.get(start.ticket());
    statistics.slotsChanged(events.now(), 1);
    running++;
    attempt.startedMillis = events.now();
    attempt.stallMillis = start.loadStallMillis();
    double perToken =
        SimulationSizes.MILLIS_PER_TOKEN
            * (1 + SimulationSizes.FULL_BATCH_SLOWDOWN * running / SimulationSizes.BATCH);
    boolean cached = prefixes.put(attempt.arrival.prefixHash(), true) != null;
    prefixes.keySet().stream()
        .findFirst()
        .filter(oldest -> prefixes.size() > SimulationSizes.CACHED_PREFIXES)
        .ifPresent(prefixes::remove);
    attempt.firstTokenMillis =
        events.now()
            + (long) ((cached ? 0 : SimulationSizes.PREFIX_MILLIS) * slowdownFactor + perToken);
    attempt.millisPerToken = perToken * slowdownFactor;
    long startedEpoch = epoch;
    events.at(
        attempt.firstTokenMillis + (long) (attempt.arrival.tokens() * attempt.millisPerToken),
        () -> finish(attempt, startedEpoch));
  }

  private void finish(Attempt attempt, long startedEpoch) {
    if (startedEpoch == epoch && attempts.remove(attempt.ticket) != null) {
      scheduler.finished(attempt.ticket, events.now());
      runStopped(attempt, true);
      attempt.entry.attemptCompleted(attempt);
      poll();
    }
  }

  private void runStopped(Attempt attempt, boolean completed) {
    statistics.slotsChanged(events.now(), -1);
    running--;
    statistics.runEnded(attempt.arrival, events.now() - attempt.startedMillis, completed);
  }

  private void refuse(long ticket, FailureType type) {
    Attempt attempt = attempts.remove(ticket);
    if (attempt != null) {
      events.after(
          SimulationSizes.SAME_ZONE_MILLIS, () -> attempt.entry.attemptRefused(attempt, type));
    }
  }

  private void beginLoad(AdapterRef adapter) {
    statistics.loads++;
    long startedEpoch = epoch;
    boolean fails = loadsFail && random.nextDouble() < LOAD_FAILURE_PROBABILITY;
    store.beginTransfer(
        this,
        () -> {
          if (fails || startedEpoch != epoch) {
            scheduler.loadFailed(adapter, events.now());
          } else {
            scheduler.loaded(adapter, events.now());
          }
          poll();
        });
  }
}
