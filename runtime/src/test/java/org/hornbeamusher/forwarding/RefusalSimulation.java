package org.hornbeamusher.forwarding;

import com.codahale.metrics.MetricRegistry;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.hornbeamusher.availability.EndpointAvailability;
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.features.ServingFeatures;
import org.hornbeamusher.forecast.ForecastErrors;
import org.hornbeamusher.holdings.AdapterSlots;
import org.hornbeamusher.holdings.EngineOrder;
import org.hornbeamusher.holdings.EngineReport;
import org.hornbeamusher.holdings.EngineWorkload;
import org.hornbeamusher.holdings.LoadPriority;
import org.hornbeamusher.holdings.OrderResult;
import org.hornbeamusher.holdings.Reservation;
import org.hornbeamusher.holdings.ReservationId;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.placement.EndpointView;
import org.hornbeamusher.placement.Placement;
import org.hornbeamusher.placement.PlacementRequest;
import org.hornbeamusher.placement.PlacementSettings;
import org.hornbeamusher.placement.Placer;
import org.hornbeamusher.routes.AdapterKey;
import org.hornbeamusher.routes.LatestAdapterVersions;

/**
 * Entries and engines with agents in simulated time. Placement, refusals and adapter slots are the
 * product's; loads, prompts and runs take fixed or random times. Callers return once, after
 * Retry-After, but wait no longer than a third of their time left.
 */
final class RefusalSimulation {

  static final String SERVICE = "llm";
  private static final int ADAPTER_SLOTS = 6;
  private static final int REQUEST_SLOTS = 64;
  private static final long LOAD_MILLIS = 290;
  private static final long REPORT_MILLIS = 60;
  private static final long TICK_MILLIS = 20;
  private static final long START_MILLIS = 10_000;
  private static final double TOKENS_PER_MILLI = 40;
  private static final AdapterVersion BASE = new AdapterVersion(new AdapterKey("m", ""), 1);

  final List<Call> calls = new ArrayList<>();

  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private final Map<EndpointId, Engine> engines = new HashMap<>();
  private final List<Entry> entries = new ArrayList<>();
  private final Random random;
  private final ServingFeatures features;
  private long now = START_MILLIS;
  private long sequence;

  RefusalSimulation(ServingFeatures features, int entryCount, int engineCount, long seed) {
    this.features = features;
    this.random = new Random(seed);
    for (int i = 0; i < entryCount; i++) {
      entries.add(new Entry(i));
    }
    for (int i = 0; i < engineCount; i++) {
      Engine engine = new Engine("e" + i);
      engines.put(engine.endpoint.id(), engine);
      entries.forEach(entry -> entry.add(engine));
      engine.report();
      engine.tick();
    }
  }

  /** Replaces the measurements and promises of all entries by those of new processes. */
  void restartEntries() {
    entries.forEach(Entry::restart);
  }

  /** Makes the loads of an engine slower. */
  void slowDown(String id, double factor) {
    engines.get(new EndpointId(id)).slowness = factor;
  }

  /** Removes an engine from the list; what runs there ends. */
  void remove(String id) {
    entries.forEach(entry -> entry.placer.views().remove(new EndpointId(id)).markRemoved());
  }

  /** Schedules calls at a constant rate, each for an adapter of its own. */
  void arrivals(long fromMillis, long untilMillis, double perSecond, CallType type) {
    for (double at = fromMillis; at < untilMillis; at += 1_000 / perSecond) {
      long jittered = now + (long) (at + random.nextDouble() * 1_000 / perSecond);
      schedule(jittered, () -> new Call(type, now).arrive());
    }
  }

  /** Runs until a time, counted from the start. */
  void runUntil(long millis) {
    long end = START_MILLIS + millis;
    while (!tasks.isEmpty() && tasks.peek().atMillis <= end) {
      Task next = tasks.poll();
      now = next.atMillis;
      next.action.run();
    }
    now = end;
  }

  double share(End end) {
    return calls.stream().filter(call -> call.end == end).count() / (double) calls.size();
  }

  private void schedule(long atMillis, Runnable action) {
    tasks.add(new Task(atMillis, sequence++, action));
  }

  /**
   * A kind of call.
   *
   * @param targetMillis latency of full value
   * @param deadlineMillis how long its caller waits
   * @param runMillis mean duration after the first event
   * @param tokens prompt tokens
   */
  record CallType(long targetMillis, long deadlineMillis, long runMillis, int tokens) {}

  /** How a call ended. */
  enum End {
    IN_TIME,
    LATE,
    REFUSED,
    OPEN
  }

  private record Task(long atMillis, long number, Runnable action) implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      return atMillis == other.atMillis
          ? Long.compare(number, other.number)
          : Long.compare(atMillis, other.atMillis);
    }
  }

  /** A caller and its request, the second one after a refusal included. */
  final class Call {

    final CallType type;
    final long firstMillis;
    final AdapterVersion adapter;
    End end = End.OPEN;
    long refusedMillis = -1;
    int refusingEntry = -1;
    long returnMillis = -1;
    long statedMillis = -1;
    long heldMillis = -1;
    boolean ran;
    boolean refusedAfterRun;
    private long arrivedMillis;
    private Entry entry;
    private Engine engine;
    private EndpointView view;
    private ReservationId reservation;
    private long placedMillis;
    private ForecastErrors.Estimate estimate;

    Call(CallType type, long now) {
      this.type = type;
      this.firstMillis = now;
      this.adapter = new AdapterVersion(new AdapterKey("m", "a" + calls.size()), 1);
      calls.add(this);
    }

    void arrive() {
      arrivedMillis = now;
      entry = entries.get(random.nextInt(entries.size()));
      place();
    }

    private void place() {
      if (!(entry.placer.place(SERVICE, request(), Set.of(), now)
          instanceof Placement.Assigned chosen)) {
        refuse(HornbeamusherException.notRun(FailureType.NO_ENDPOINT, SERVICE));
        return;
      }
      switch (entry.refusals.atPlacement(candidate(), chosen, now)) {
        case RefusalDecisions.PlacementDecision.Place place -> placedAt(place.at());
        case RefusalDecisions.PlacementDecision.Hold hold ->
            schedule(now + ForwardedRequest.PLACEMENT_RETRY_MILLIS, this::place);
        case RefusalDecisions.PlacementDecision.Refuse refuse -> refuse(refuse.refusal());
      }
    }

    private void placedAt(Placement.Assigned at) {
      estimate = entry.refusals.estimate(candidate(), at);
      placedMillis = now;
      view = at.endpoint();
      engine = engines.get(view.id());
      view.requestStarted(request(), now);
      reservation = new ReservationId(entry.number, sequence++);
      engine.waiting.put(reservation, this);
      engine.slots.reserve(
          new Reservation(
              reservation,
              adapter,
              0,
              type.tokens,
              deadline(),
              arrivedMillis + type.targetMillis,
              now),
          now);
      engine.pump();
      schedule(now + ForwardedRequest.PLACEMENT_RETRY_MILLIS, this::reconsider);
    }

    private void reconsider() {
      if (engine == null || !engine.waiting.containsKey(reservation)) {
        return;
      }
      if (!view.isLoading(adapter)
          && entry.placer.place(SERVICE, request(), Set.of(), now) instanceof Placement.Assigned at
          && at.endpoint() != view
          && at.justifiesMove(
              now - placedMillis,
              entry.refusals.overdueMillis(view, now),
              view.storeLoadMillis())) {
        leaveUnserved();
        place();
        return;
      }
      Optional<HornbeamusherException> refusal =
          view.isLoading(adapter)
              ? Optional.empty()
              : entry.refusals.whileWaiting(candidate(), view, now);
      if (refusal.isEmpty() && now < deadline()) {
        schedule(now + ForwardedRequest.PLACEMENT_RETRY_MILLIS, this::reconsider);
        return;
      }
      leaveUnserved();
      refuse(
          refusal.orElseGet(
              () -> HornbeamusherException.notRun(FailureType.LOAD_TOO_LATE, adapter)));
    }

    private void leaveUnserved() {
      entry.refusals.leftUnserved(candidate(), view, estimate, now - placedMillis, now);
      leave();
    }

    private void refuse(HornbeamusherException refusal) {
      refusedAfterRun |= ran;
      heldMillis = now - arrivedMillis;
      if (refusedMillis >= 0) {
        end = End.REFUSED;
        return;
      }
      refusedMillis = now;
      refusingEntry = entry.number;
      statedMillis =
          entry.refusals.withRetryAfter(candidate(), refusal, now).retryAfterMillis().orElse(0);
      returnMillis = now + Math.min(statedMillis, (deadline() - now) / 3);
      schedule(returnMillis, this::arrive);
    }

    private void granted() {
      ran = true;
      entry.refusals.sent(candidate(), true, now);
      Engine at = engine;
      long promptMillis = Math.round(type.tokens / TOKENS_PER_MILLI * at.slowness);
      schedule(now + promptMillis, this::firstEvent);
      long run = Math.round(type.runMillis * (0.5 + random.nextDouble()) * at.slowness);
      schedule(now + promptMillis + run, () -> runEnded(promptMillis + run));
    }

    private void runEnded(long tookMillis) {
      view.runCompleted(tookMillis);
      leave();
    }

    private void firstEvent() {
      engine.slots.promptProcessed(reservation);
      view.promptProcessed(type.tokens);
      entry.refusals.firstEvent(candidate(), view, estimate, now - placedMillis, now);
      long took = now - firstMillis;
      end =
          took <= type.targetMillis
              ? End.IN_TIME
              : took <= type.deadlineMillis ? End.LATE : End.REFUSED;
    }

    private void leave() {
      engine.waiting.remove(reservation);
      if (!ran) {
        view.promptProcessed(type.tokens);
      }
      view.requestEnded();
      engine.slots.release(reservation);
      engine.pump();
      engine = null;
    }

    private long deadline() {
      return firstMillis + type.deadlineMillis;
    }

    private PlacementRequest request() {
      return new PlacementRequest(
          adapter.hashCode(), Optional.of(adapter), type.tokens, 10, 0, List.of());
    }

    private RefusalDecisions.Candidate candidate() {
      return new RefusalDecisions.Candidate(
          new RequestLog(""),
          SERVICE,
          request(),
          arrivedMillis + type.targetMillis,
          deadline(),
          deadline(),
          !ran);
    }
  }

  /** What one entry knows. */
  private final class Entry {

    private final int number;
    private final Placer placer = new Placer(PlacementSettings.DEFAULT, "a");
    private RefusalDecisions refusals;

    Entry(int number) {
      this.number = number;
      restart();
    }

    void restart() {
      refusals =
          new RefusalDecisions(
              features,
              placer,
              entries::size,
              random::nextDouble,
              new ForwardMetrics(new MetricRegistry()));
    }

    void add(Engine engine) {
      EndpointView view =
          new EndpointView(engine.endpoint, 100_000, ADAPTER_SLOTS, new EndpointAvailability());
      placer.views().put(view.id(), view);
    }
  }

  /** An engine and its agent. */
  private final class Engine {

    private final Endpoint endpoint;
    private final AdapterSlots slots;
    private final Set<AdapterKey> held = new HashSet<>();
    private final Set<AdapterKey> loading = new HashSet<>();
    private final Map<ReservationId, Call> waiting = new HashMap<>();
    private double slowness = 1;

    Engine(String id) {
      endpoint =
          new Endpoint(
              new EndpointIncarnation(new EndpointId(id), 1),
              SERVICE,
              URI.create("http://127.0.0.1:1"),
              "a",
              REQUEST_SLOTS,
              false,
              0,
              Set.of());
      slots = new AdapterSlots(ADAPTER_SLOTS, new LatestAdapterVersions(), LoadPriority.BY_RANK, 0);
      recordReport();
    }

    /** Reports to all entries, whose knowledge is as old as the last report. */
    void report() {
      entries.forEach(this::reportTo);
      schedule(now + REPORT_MILLIS, this::report);
    }

    private void reportTo(Entry entry) {
      EndpointView view = entry.placer.views().get(endpoint.id());
      if (view == null) {
        return;
      }
      Set<AdapterVersion> usable = versions(held);
      usable.add(BASE);
      view.updateFromAgent(usable, versions(loading), false);
      EngineWorkload others = slots.workloads(now).fromOthers(entry.number);
      view.reportedLoad(others.requests(), others.pendingPromptTokens(), others.spareSlots());
      view.reportedWaitingAdapters(others.waitingAdapters());
      view.reportedCosts(slots.costs());
    }

    /** Evictions become due by time alone. */
    void tick() {
      pump();
      schedule(now + TICK_MILLIS, this::tick);
    }

    void pump() {
      slots.updateAdaptersInUse(now);
      Optional<EngineOrder> order = slots.nextOrder(List.of("m"), now);
      while (order.isPresent()) {
        AdapterKey key = order.get().key();
        if (order.get() instanceof EngineOrder.Load) {
          loading.add(key);
          schedule(now + Math.round(LOAD_MILLIS * slowness), () -> loaded(key));
        } else {
          held.remove(key);
        }
        slots.orderCompleted(OrderResult.ACCEPTED);
        recordReport();
        order = slots.nextOrder(List.of("m"), now);
      }
      for (ReservationId granted : slots.takeGrants()) {
        Call call = waiting.remove(granted);
        if (call != null) {
          call.granted();
        }
      }
    }

    private void loaded(AdapterKey key) {
      loading.remove(key);
      held.add(key);
      recordReport();
      pump();
    }

    private void recordReport() {
      slots.recordReport(
          new EngineReport(
              Set.of("m"),
              held.stream().collect(Collectors.toMap(key -> key, key -> 1L)),
              versions(loading),
              false,
              0,
              false,
              1),
          now);
    }

    private Set<AdapterVersion> versions(Set<AdapterKey> keys) {
      return keys.stream().map(key -> new AdapterVersion(key, 1)).collect(Collectors.toSet());
    }
  }
}
