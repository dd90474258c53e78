package org.hornbeamusher.recovery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.holdings.AdapterSlots;
import org.hornbeamusher.holdings.EngineOrder;
import org.hornbeamusher.holdings.EngineReport;
import org.hornbeamusher.holdings.LoadPriority;
import org.hornbeamusher.holdings.OrderResult;
import org.hornbeamusher.holdings.Reservation;
import org.hornbeamusher.holdings.ReservationId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.routes.AdapterKey;
import org.hornbeamusher.routes.LatestAdapterVersions;
import org.hornbeamusher.routing.RendezvousHash;

/**
 * Engines that have restarted empty, under load: the decisions of their agents and of coordinators,
 * between engines that share the bandwidth of a weight store and callers who ask for adapters by
 * popularity. Messages between agents and coordinators take {@link #MESSAGE_MILLIS}.
 */
final class RestartedFleet {

  static final int ENGINES = 35;
  static final int SLOTS = 7;
  static final int FULL_SPEED_LOADS = 24;
  static final double LOAD_MILLIS = 288;
  static final long TARGET_MILLIS = 600;

  private static final long STEP_MILLIS = 5;
  private static final long MESSAGE_MILLIS = 10;
  private static final long RUN_MILLIS = 900;
  private static final long FIRST_EVENT_MILLIS = 60;
  private static final long CALLER_PATIENCE_MILLIS = 5_000;
  private static final double CACHED_SPEED = 10;
  private static final int CACHED_ADAPTERS = 41;
  private static final int ADAPTERS = 2_000;
  private static final double POPULARITY_EXPONENT = 1.2;
  private static final double REQUESTS_PER_MILLI = 0.12;
  private static final String MODEL = "m";

  private final Random random;
  private final double[] cumulativePopularity = new double[ADAPTERS];
  private final List<Engine> engines = new ArrayList<>();
  private final Map<Integer, LoadPermitAllocator<Integer>> coordinators = new TreeMap<>();
  private final PriorityQueue<Delivery> inTransit =
      new PriorityQueue<>(
          Comparator.comparingLong(Delivery::millis).thenComparingLong(Delivery::number));
  private final Set<Integer> silentCoordinators = new HashSet<>();
  private long lastRequest;
  private long deliveries;
  private long now;

  /** The most loads from the store that were in progress at once. */
  int maxStoreLoads;

  /** Requests whose callers left before their adapter was loaded. */
  int abandoned;

  /** The requests by the second of their arrival: asked, and with a first event in time. */
  final Map<Long, int[]> bySecond = new TreeMap<>();

  private record Delivery(long millis, long number, Runnable run) {}

  private record Arrival(long millis, int adapter) {}

  /** How the loads of the engines are limited. */
  enum Pacing {
    /** Each agent learns from its own loads and begins with two at once. */
    PER_ENGINE,
    /** The same, beginning with one load, as without a coordinator. */
    SELF_PACED,
    /** A coordinator grants permits. */
    COORDINATED
  }

  RestartedFleet(Pacing pacing, long seed) {
    random = new Random(seed);
    double sum = 0;
    for (int i = 0; i < ADAPTERS; i++) {
      sum += Math.pow(i + 1, -POPULARITY_EXPONENT);
      cumulativePopularity[i] = sum;
    }
    for (int i = 0; i < ENGINES; i++) {
      engines.add(new Engine(i, pacing != Pacing.PER_ENGINE));
    }
    coordinators.put(0, new LoadPermitAllocator<>(0));
    coordinators.put(1, new LoadPermitAllocator<>(0));
    if (pacing == Pacing.COORDINATED) {
      engines.forEach(engine -> engine.choose(0));
    }
  }

  /** Makes a coordinator unreachable; with {@code closed} the agents notice it at once. */
  void loseCoordinator(int number, boolean closed) {
    silentCoordinators.add(number);
    if (closed) {
      engines.stream()
          .filter(engine -> engine.coordinator == number)
          .forEach(engine -> engine.choose(1 - number));
    }
  }

  /** Lets the agents with even numbers choose the other coordinator, as in a partition. */
  void splitAgents() {
    engines.stream().filter(engine -> engine.number % 2 == 0).forEach(engine -> engine.choose(1));
  }

  /** Callers who have waited since before the engines were back. */
  void addBacklog(int requests) {
    for (int i = 0; i < requests; i++) {
      arrive(now - random.nextLong(1_000, 2_500));
    }
  }

  void runUntil(long end) {
    for (; now < end; now += STEP_MILLIS) {
      while (!inTransit.isEmpty() && inTransit.peek().millis <= now) {
        inTransit.poll().run.run();
      }
      if (random.nextDouble() < REQUESTS_PER_MILLI * STEP_MILLIS) {
        arrive(now);
      }
      progressLoads();
      engines.forEach(Engine::step);
    }
  }

  double onTimeShare(long fromSecond, long toSecond) {
    int asked = 0;
    int onTime = 0;
    for (long second = fromSecond; second < toSecond; second++) {
      int[] counts = bySecond.getOrDefault(second, new int[2]);
      asked += counts[0];
      onTime += counts[1];
    }
    return (double) onTime / asked;
  }

  /** The loads that the coordinator allows. */
  int maxLoads() {
    return coordinators.get(0).maxLoads();
  }

  private int storeLoads() {
    return engines.stream().mapToInt(Engine::storeLoads).sum();
  }

  private void arrive(long millis) {
    double drawn = random.nextDouble() * cumulativePopularity[ADAPTERS - 1];
    int adapter = 0;
    while (cumulativePopularity[adapter] < drawn) {
      adapter++;
    }
    if (millis >= 0) {
      bySecond.computeIfAbsent(millis / 1_000, unused -> new int[2])[0]++;
    }
    long key = RendezvousHash.hash(Integer.toString(adapter));
    engines.stream()
        .max(
            Comparator.comparing(
                engine -> RendezvousHash.weight(key, RendezvousHash.hash("e-" + engine.number)),
                Long::compareUnsigned))
        .orElseThrow()
        .reserve(new Arrival(millis, adapter));
  }

  private void progressLoads() {
    int loads = storeLoads();
    maxStoreLoads = Math.max(maxStoreLoads, loads);
    double speed = Math.min(1, (double) FULL_SPEED_LOADS / Math.max(1, loads));
    for (Engine engine : engines) {
      for (Iterator<Map.Entry<AdapterKey, Double>> it = engine.loads.entrySet().iterator();
          it.hasNext(); ) {
        Map.Entry<AdapterKey, Double> load = it.next();
        load.setValue(load.getValue() - STEP_MILLIS * speed);
        if (load.getValue() <= 0) {
          engine.resident.put(load.getKey(), 1L);
          it.remove();
        }
      }
    }
  }

  private void deliver(Runnable run) {
    inTransit.add(new Delivery(now + MESSAGE_MILLIS, ++deliveries, run));
  }

  private final class Engine {

    private final int number;
    private final Optional<LoadPermits> permits;
    private final AdapterSlots slots;
    private final Map<AdapterKey, Long> resident = new HashMap<>();
    private final Map<AdapterKey, Double> loads = new HashMap<>();
    private final LinkedHashSet<AdapterKey> cached = new LinkedHashSet<>();
    private final Map<ReservationId, Arrival> waiting = new HashMap<>();
    private final Queue<Delivery> ends = new ArrayDeque<>();
    private int coordinator;
    private int reportedLoads;
    private long sequence;

    Engine(int number, boolean paced) {
      this.number = number;
      this.permits = paced ? Optional.of(new LoadPermits()) : Optional.empty();
      this.slots =
          new AdapterSlots(
              SLOTS, new LatestAdapterVersions(), LoadPriority.BY_RANK, permits, -2_000);
    }

    void choose(int next) {
      coordinator = next;
      permits.ifPresent(LoadPermits::coordinatorChosen);
    }

    void reserve(Arrival arrival) {
      ReservationId id = new ReservationId(1, ++lastRequest);
      AdapterVersion adapter =
          new AdapterVersion(new AdapterKey(MODEL, Integer.toString(arrival.adapter)), 1);
      waiting.put(id, arrival);
      slots.reserve(
          new Reservation(
              id,
              adapter,
              0,
              600,
              arrival.millis + CALLER_PATIENCE_MILLIS,
              arrival.millis + TARGET_MILLIS,
              now),
          now);
    }

    void step() {
      slots.recordReport(report(), now);
      for (ReservationId id : slots.takeGrants()) {
        granted(id, waiting.remove(id));
      }
      waiting
          .entrySet()
          .removeIf(
              entry -> {
                boolean expired = now - entry.getValue().millis >= CALLER_PATIENCE_MILLIS;
                if (expired) {
                  slots.release(entry.getKey());
                  abandoned++;
                }
                return expired;
              });
      while (!ends.isEmpty() && ends.peek().millis <= now) {
        ends.poll().run.run();
      }
      slots.updateAdaptersInUse(now);
      slots.nextOrder(List.of(MODEL), now).ifPresent(this::execute);
      reportLoads();
      permits.ifPresent(this::exchange);
    }

    private void granted(ReservationId id, Arrival arrival) {
      if (arrival.millis >= 0 && now + FIRST_EVENT_MILLIS <= arrival.millis + TARGET_MILLIS) {
        bySecond.get(arrival.millis / 1_000)[1]++;
      }
      ends.add(new Delivery(now + RUN_MILLIS, ++deliveries, () -> slots.release(id)));
    }

    private void execute(EngineOrder order) {
      sequence++;
      switch (order) {
        case EngineOrder.Load load -> load(load.key());
        case EngineOrder.Unload unload -> unload(unload.key());
      }
      if (resident.size() + loads.size() > SLOTS) {
        throw new AssertionError("more adapters than slots");
      }
      slots.orderCompleted(OrderResult.ACCEPTED);
    }

    private void load(AdapterKey key) {
      loads.put(key, cached.remove(key) ? LOAD_MILLIS / CACHED_SPEED : LOAD_MILLIS);
    }

    private void unload(AdapterKey key) {
      resident.remove(key);
      cached.add(key);
      if (cached.size() > CACHED_ADAPTERS) {
        cached.removeFirst();
      }
    }

    /** Returns the loads from the store; those from the engine's own cache are short. */
    private int storeLoads() {
      return (int)
          loads.values().stream().filter(left -> left > LOAD_MILLIS / CACHED_SPEED).count();
    }

    private EngineReport report() {
      return new EngineReport(
          Set.of(MODEL),
          resident,
          loads.keySet().stream()
              .map(key -> new AdapterVersion(key, 1))
              .collect(Collectors.toSet()),
          false,
          sequence,
          false,
          EndpointIncarnation.UNKNOWN_START);
    }

    private void reportLoads() {
      if (reportedLoads != loads.size()) {
        reportedLoads = loads.size();
        int reported = reportedLoads;
        coordinators.forEach(
            (key, allocator) ->
                deliver(
                    () -> {
                      allocator.loadsReported(number, reported);
                      poll(key);
                    }));
      }
    }

    private void exchange(LoadPermits own) {
      if (own.coordinatorSilent(now)) {
        choose(1 - coordinator);
      }
      own.updateDemand(slots.storeLoadDemand(now), now);
      int receiver = coordinator;
      own.dueRequest(now)
          .ifPresent(
              request ->
                  deliver(
                      () -> {
                        coordinators.get(receiver).request(number, request, now);
                        poll(receiver);
                      }));
    }
  }

  private void poll(int key) {
    if (silentCoordinators.contains(key)) {
      return;
    }
    for (LoadPermitAllocator.Reply<Integer> reply : coordinators.get(key).poll(now)) {
      Engine engine = engines.get(reply.agent());
      deliver(
          () -> {
            if (engine.coordinator == key) {
              engine.permits.orElseThrow().received(reply.response(), now);
            }
          });
    }
  }
}
