package org.hornbeamusher.holdings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.recovery.LoadPermits;
import org.hornbeamusher.recovery.StoreLoadDemand;
import org.hornbeamusher.routes.AdapterKey;
import org.hornbeamusher.routes.LatestAdapterVersions;

/**
 * Decides which adapters the engine beside this agent keeps loaded.
 *
 * <p>An engine has few adapter slots, and an order to load more adapters than it has slots crashes
 * it. Every entry informs the agent of each request that it sends or wants to send (a reservation),
 * so the agent alone knows which adapters are in use:
 *
 * <ul>
 *   <li>An adapter with a reservation is never unloaded.
 *   <li>An adapter that is wanted and not loaded is loaded into a free slot, in the order of {@link
 *       LoadPriority}.
 *   <li>The last slot is withheld from requests that will be late anyway, while requests that could
 *       still meet their target time have recently had to wait for a slot.
 *   <li>Without a free slot, the adapter with the lowest demand is evicted. It is first withdrawn:
 *       entries are notified that it is no longer held, and it is unloaded only after {@link
 *       #WITHDRAWAL_MILLIS}. A request that an entry sent in the meantime comes with a reservation,
 *       which cancels the withdrawal.
 *   <li>An adapter for which a newer version was published is not reported to entries as held; it
 *       is replaced once its last reservation has ended.
 * </ul>
 *
 * <p>Example with two slots, both occupied: A has a reservation, B has none, and C is wanted. B is
 * withdrawn at 0 ms and unloaded at 20 ms, and C is ordered once the engine reports that B is
 * unloaded. Had B been reserved at 10 ms, it would have stayed, and C would wait for A or B.
 *
 * <p>What the engine holds is taken only from its reports. An order changes the assumed state only
 * in the safe direction: a load occupies a slot from the moment it is sent, and an unload frees
 * none until a report confirms it. Orders are sent one at a time, because each carries the number
 * of orders that the engine has accepted so far; the engine refuses an order that arrives late and
 * carries an outdated number.
 *
 * <p>Rejected: unloading at once and letting the engine refuse requests in flight, because nearly
 * half of all sends were refused and each draws on the retry budget; a lease on each adapter,
 * because it would have to be renewed.
 */
public final class AdapterSlots {

  /**
   * Time between withdrawal and unloading: a round trip between zones plus a delay of the event
   * loop. By then, the reservation of a request that was sent before the entry received the
   * withdrawal has arrived.
   */
  static final long WITHDRAWAL_MILLIS = 20;

  /** Connected entries have sent their reservations within this time after a start. */
  static final long STARTUP_GRACE_MILLIS = 1_000;

  /**
   * Slots withheld from requests that will be late anyway while other requests can still meet their
   * target time, because the run of a late request would occupy the last slot for seconds. Without
   * it, two in three requests that need a load are late under full load.
   */
  private static final int SLOTS_KEPT_FOR_ON_TIME = 1;

  /**
   * Loads in progress after a restart of the engine while no coordinator responds. More than one
   * load at each of many engines that restart together takes longer than most callers wait.
   */
  private static final int PACED_INITIAL_WINDOW = 1;

  /** The wait for a permit is reported to entries in this unit. */
  private static final long STORE_WAIT_UNIT_MILLIS = 50;

  private final int slots;
  private final LatestAdapterVersions versions;
  private final LoadPriority priority;
  private final long startedMillis;

  private final Map<ReservationId, Reservation> reservations = new LinkedHashMap<>();
  private final Map<ReservationId, Reservation> waiting = new LinkedHashMap<>();
  private final AdapterDemand demand = new AdapterDemand();

  /** The withdrawal times of adapters that the engine still holds. */
  private final Map<AdapterKey, Long> withdrawn = new HashMap<>();

  /** Adapters whose load was ordered and is not yet shown by a report. */
  private final Set<AdapterKey> ordered = new HashSet<>();

  private final LoadTimeEstimator loadTimes;
  private final Optional<LoadPermits> permits;

  /** When a request that could still meet its target time last found no free slot. */
  private long lastOnTimeWaitMillis = Long.MIN_VALUE / 2;

  private EngineReport report;
  private EngineOrder outstandingOrder;

  /**
   * Creates an instance for an engine whose state is unknown.
   *
   * @param slots the engine's adapter slots
   * @param versions the newest version of each adapter
   * @param priority the order in which awaited adapters are loaded
   * @param now milliseconds
   */
  public AdapterSlots(int slots, LatestAdapterVersions versions, LoadPriority priority, long now) {
    this(slots, versions, priority, Optional.empty(), now);
  }

  /**
   * Creates an instance for an engine whose state is unknown.
   *
   * @param slots the engine's adapter slots
   * @param versions the newest version of each adapter
   * @param priority the order in which awaited adapters are loaded
   * @param permits permits for loads from the weight store; empty if loads are not paced over all
   *     engines
   * @param now milliseconds
   */
  public AdapterSlots(
      int slots,
      LatestAdapterVersions versions,
      LoadPriority priority,
      Optional<LoadPermits> permits,
      long now) {
    this.slots = slots;
    this.priority = priority;
    this.permits = permits;
    this.loadTimes =
        permits
            .map(known -> new LoadTimeEstimator(slots, PACED_INITIAL_WINDOW, known::loadCompleted))
            .orElseGet(() -> new LoadTimeEstimator(slots));
    this.versions = versions;
    this.startedMillis = now;
  }

  /**
   * Takes a report of the engine.
   *
   * @param newReport the report
   * @param now milliseconds
   */
  public void recordReport(EngineReport newReport, long now) {
    recordLoadTimes(newReport, now);
    boolean hadModel = report != null && !report.models().isEmpty();
    if (!hadModel && !newReport.models().isEmpty()) {
      permits.ifPresent(LoadPermits::engineReady);
    }
    report = newReport;
    withdrawn.keySet().retainAll(newReport.adapters().keySet());
    if (outstandingOrder == null) {
      ordered.clear();
    }
  }

  private void recordLoadTimes(EngineReport newReport, long now) {
    if (report != null) {
      report.adapters().keySet().stream()
          .filter(key -> !newReport.adapters().containsKey(key))
          .forEach(loadTimes::unloaded);
    }
    loadTimes.updateHeld(newReport.adapters().keySet(), now);
  }

  /**
   * Records which adapters are in use; to be called whenever reservations have changed.
   *
   * @param now milliseconds
   */
  public void updateAdaptersInUse(long now) {
    Set<AdapterKey> used = new HashSet<>();
    for (Reservation one : reservations.values()) {
      if (!waiting.containsKey(one.id()) && !one.adapter().key().isBase()) {
        used.add(one.adapter().key());
      }
    }
    loadTimes.updateInUse(used, now);
  }

  /**
   * Returns the estimated cost of loading an adapter on this engine.
   *
   * @return the estimate from the engine's loads and runs so far
   */
  public LoadCosts costs() {
    LoadCosts measured = loadTimes.costs();
    long wait = permits.map(LoadPermits::waitMillis).orElse(0L);
    return measured.withStoreWait(wait / STORE_WAIT_UNIT_MILLIS * STORE_WAIT_UNIT_MILLIS);
  }

  /**
   * Handles a new incarnation of the engine. Requests that ran at the previous one have ended with
   * it, and entries place waiting requests anew. A reservation that was kept would pin or load an
   * adapter that nobody needs.
   */
  public void engineRestarted() {
    engineUnreachable();
    reservations.clear();
    waiting.clear();
    loadTimes.engineRestarted();
  }

  /** Handles the loss of contact with the engine; what it holds is unknown. */
  public void engineUnreachable() {
    report = null;
    outstandingOrder = null;
    ordered.clear();
    loadTimes.engineUnreachable();
    withdrawn.clear();
  }

  /**
   * Adds a reservation.
   *
   * @param reservation the request
   * @param now milliseconds
   */
  public void reserve(Reservation reservation, long now) {
    reservations.put(reservation.id(), reservation);
    AdapterKey key = reservation.adapter().key();
    versions.offer(key, reservation.adapter().version());
    demand.add(key, now);
    withdrawn.remove(key);
    waiting.put(reservation.id(), reservation);
  }

  /**
   * Records that the engine has processed the prompt of a request.
   *
   * @param id the reservation
   */
  public void promptProcessed(ReservationId id) {
    reservations.computeIfPresent(id, (unused, known) -> known.withPromptProcessed());
  }

  /**
   * Ends a reservation.
   *
   * @param id the reservation
   */
  public void release(ReservationId id) {
    reservations.remove(id);
    waiting.remove(id);
  }

  /**
   * Ends all reservations of an entry whose connection is lost.
   *
   * @param entry number of the connection
   */
  public void releaseAll(long entry) {
    reservations.keySet().removeIf(id -> id.entry() == entry);
    waiting.keySet().removeIf(id -> id.entry() == entry);
  }

  /**
   * Returns the reservations whose requests can be sent now; each is returned once.
   *
   * @return ids of reservations whose adapter the engine holds
   */
  public List<ReservationId> takeGrants() {
    List<ReservationId> granted = new ArrayList<>();
    for (Reservation wanted : waiting.values()) {
      if (isUsable(wanted.adapter())) {
        granted.add(wanted.id());
      }
    }
    granted.forEach(waiting::remove);
    return granted;
  }

  private boolean isUsable(AdapterVersion adapter) {
    if (report == null || !report.models().contains(adapter.key().model())) {
      return false;
    }
    if (adapter.key().isBase()) {
      return true;
    }
    Long version = report.adapters().get(adapter.key());
    return version != null && version >= adapter.version() && !isReplacing(adapter.key());
  }

  private boolean isReplacing(AdapterKey key) {
    return ordered.contains(key)
        || (outstandingOrder instanceof EngineOrder.Load load && load.key().equals(key));
  }

  /**
   * Returns the adapters and base models that entries may use.
   *
   * @return adapters held at their newest version and not withdrawn, and the base models
   */
  public Set<AdapterVersion> held() {
    Set<AdapterVersion> held = new HashSet<>();
    if (report == null) {
      return held;
    }
    report.models().forEach(model -> held.add(new AdapterVersion(new AdapterKey(model, ""), 1)));
    report
        .adapters()
        .forEach(
            (key, version) -> {
              if (!withdrawn.containsKey(key) && version >= versions.of(key) && !isReplacing(key)) {
                held.add(new AdapterVersion(key, version));
              }
            });
    return held;
  }

  /**
   * Returns the adapters that are being loaded.
   *
   * @return adapters ordered or loading, at their newest version
   */
  public Set<AdapterVersion> loading() {
    Set<AdapterVersion> loading = new HashSet<>(report == null ? Set.of() : report.loading());
    ordered.forEach(key -> loading.add(new AdapterVersion(key, versions.of(key))));
    return loading;
  }

  /**
   * Tells whether the next report is expected to show a change.
   *
   * @return whether to request the next report soon
   */
  public boolean changeExpected() {
    return report == null
        || report.loadingBaseModel()
        || report.models().isEmpty()
        || !report.loading().isEmpty()
        || !ordered.isEmpty()
        || outstandingOrder != null;
  }

  /**
   * Returns the workload of the engine.
   *
   * @param now milliseconds
   * @return the workload by entry
   */
  public EngineWorkloads workloads(long now) {
    return new EngineWorkloads(reservations.values(), spareSlots(now), waitingAdapters());
  }

  /**
   * Tells whether an order may become due by the passage of time alone.
   *
   * @return whether a request is waiting or an adapter is withdrawn
   */
  public boolean hasTimedWork() {
    return !waiting.isEmpty() || !withdrawn.isEmpty();
  }

  /**
   * Returns how many more adapters could be loaded without waiting for a request to end.
   *
   * @param now milliseconds
   * @return slots that are free or occupied by unused adapters, minus adapters waiting for a slot
   *     and, under pressure, minus the slot withheld from late requests
   */
  public int spareSlots(long now) {
    if (report == null) {
      return 0;
    }
    int kept = underPressure(now) ? SLOTS_KEPT_FOR_ON_TIME : 0;
    return (int) (usableSlots() - kept - wantedAdapters());
  }

  /**
   * Returns how many adapters cannot be loaded until a request ends. A slot withheld from late
   * requests is not waited for by anyone, so it does not count.
   *
   * @return wanted adapters for which there is no slot that is free or occupied by an unused
   *     adapter
   */
  public int waitingAdapters() {
    return report == null ? 0 : (int) Math.max(0, wantedAdapters() - usableSlots());
  }

  /** Returns the number of adapters that requests wait for and whose load has not begun. */
  private long wantedAdapters() {
    return waiting.values().stream()
        .map(reservation -> reservation.adapter().key())
        .filter(key -> !key.isBase() && !isLoading(key) && !report.adapters().containsKey(key))
        .distinct()
        .count();
  }

  /**
   * Decides the next order. Nothing is ordered while the result of an order is outstanding.
   *
   * @param models base models of the service; an engine without any loads the first
   * @param now milliseconds
   * @return the order, or empty when there is nothing to do
   */
  public Optional<EngineOrder> nextOrder(List<String> models, long now) {
    if (report == null
        || outstandingOrder != null
        || report.loadingBaseModel()
        || report.leaving()) {
      return Optional.empty();
    }
    waiting.values().removeIf(wanted -> wanted.expiresMillis() <= now);
    Optional<EngineOrder> order = baseModelOrder(models);
    if (order.isEmpty()) {
      order = wantedAdapterOrder(now);
    }
    if (order.isEmpty()) {
      order = newVersionOrder(now);
    }
    order.ifPresent(next -> orderSent(next, now));
    return order;
  }

  private void orderSent(EngineOrder order, long now) {
    outstandingOrder = order;
    if (order instanceof EngineOrder.Load load) {
      ordered.add(load.key());
      if (!load.key().isBase() && !report.adapters().containsKey(load.key())) {
        loadTimes.loadOrdered(load.key(), now);
        if (!loadTimes.isCached(load.key())) {
          permits.ifPresent(LoadPermits::loadStarted);
        }
      }
    }
  }

  /**
   * Takes the result of the last order. A report has to be taken before the next order.
   *
   * @param result the result
   */
  public void orderCompleted(OrderResult result) {
    outstandingOrder = null;
    if (result != OrderResult.ACCEPTED && result != OrderResult.UNKNOWN) {
      ordered.clear();
    }
  }

  private Optional<EngineOrder> baseModelOrder(List<String> models) {
    if (!report.models().isEmpty()) {
      return Optional.empty();
    }
    return models.stream()
        .findFirst()
        .map(model -> new EngineOrder.Load(new AdapterKey(model, "")));
  }

  private Optional<EngineOrder> wantedAdapterOrder(long now) {
    for (Reservation wanted : priority.sort(waiting.values(), now)) {
      if (LoadPriority.isLate(wanted, now)
          && underPressure(now)
          && usableSlots() <= SLOTS_KEPT_FOR_ON_TIME) {
        return Optional.empty();
      }
      AdapterKey key = wanted.adapter().key();
      boolean model = report.models().contains(key.model());
      if (!model || isUsable(wanted.adapter()) || key.isBase() || isLoading(key)) {
        continue;
      }
      if (report.adapters().containsKey(key)) {
        if (isUnused(key)) {
          return Optional.of(new EngineOrder.Load(key));
        }
        continue;
      }
      if (!mayLoad(key, now)) {
        // A copy that the engine has cached needs no permit.
        if (permits.isPresent()) {
          continue;
        }
        return Optional.empty();
      }
      if (occupiedSlots() < slots) {
        return Optional.of(new EngineOrder.Load(key));
      }
      if (!LoadPriority.isLate(wanted, now)) {
        lastOnTimeWaitMillis = now;
      }
      return evictionOrder(now);
    }
    return Optional.empty();
  }

  private boolean mayLoad(AdapterKey key, long now) {
    int loads = report.loading().size() + ordered.size();
    if (permits.isEmpty()) {
      return loads < loadTimes.maxConcurrentLoads();
    }
    return loadTimes.isCached(key)
        ? loads < LoadConcurrencyWindow.MAX_SIZE
        : permits.get().mayLoad(loads, loadTimes.maxConcurrentLoads(), now);
  }

  /**
   * Returns what could be loaded from the weight store at once.
   *
   * @param now milliseconds
   * @return the adapters that requests wait for, as many as there are usable slots for
   */
  public StoreLoadDemand storeLoadDemand(long now) {
    if (report == null || report.leaving() || waiting.isEmpty()) {
      return StoreLoadDemand.NONE;
    }
    List<AdapterKey> wanted =
        priority.sort(waiting.values(), now).stream()
            .filter(one -> one.expiresMillis() > now)
            .map(one -> one.adapter().key())
            .filter(this::needsStoreLoad)
            .toList();
    int adapters = (int) Math.min(wanted.size(), Math.max(0, usableSlots()));
    return adapters == 0
        ? StoreLoadDemand.NONE
        : new StoreLoadDemand(adapters, onTimeRequests(wanted.getFirst(), now));
  }

  private boolean needsStoreLoad(AdapterKey key) {
    return !key.isBase()
        && report.models().contains(key.model())
        && !report.adapters().containsKey(key)
        && !isLoading(key)
        && !loadTimes.isCached(key);
  }

  private int onTimeRequests(AdapterKey key, long now) {
    return (int)
        waiting.values().stream()
            .filter(one -> one.adapter().key().equals(key) && !LoadPriority.isLate(one, now))
            .count();
  }

  /**
   * Tells whether a request that could meet its target time recently had to wait for a slot. For
   * the mean time of use of a slot, another such request is expected.
   */
  private boolean underPressure(long now) {
    return now - lastOnTimeWaitMillis < loadTimes.useMillis();
  }

  /** Returns the number of slots that are free or occupied by unused adapters. */
  private long usableSlots() {
    return slots
        - occupiedSlots()
        + report.adapters().keySet().stream().filter(this::isUnused).count();
  }

  private boolean isLoading(AdapterKey key) {
    return ordered.contains(key)
        || report.loading().stream().anyMatch(pending -> pending.key().equals(key));
  }

  private int occupiedSlots() {
    Set<AdapterKey> occupied = new HashSet<>(report.adapters().keySet());
    report.loading().forEach(pending -> occupied.add(pending.key()));
    occupied.addAll(ordered);
    return occupied.size();
  }

  private Optional<EngineOrder> evictionOrder(long now) {
    for (Map.Entry<AdapterKey, Long> entry : withdrawn.entrySet()) {
      if (now - entry.getValue() >= WITHDRAWAL_MILLIS && isUnused(entry.getKey())) {
        return Optional.of(new EngineOrder.Unload(entry.getKey()));
      }
    }
    if (withdrawn.isEmpty() && now - startedMillis >= STARTUP_GRACE_MILLIS) {
      evictionCandidate(now).ifPresent(key -> withdrawn.put(key, now));
    }
    return Optional.empty();
  }

  private Optional<AdapterKey> evictionCandidate(long now) {
    return report.adapters().keySet().stream()
        .filter(this::isUnused)
        .min(
            Comparator.comparing((AdapterKey key) -> !isStale(key))
                .thenComparingDouble(key -> demand.estimate(key, now)));
  }

  /** Returns a load of a newer version of an adapter in demand, before a request needs it. */
  private Optional<EngineOrder> newVersionOrder(long now) {
    if (report.loading().size() + ordered.size() >= loadTimes.maxConcurrentLoads()) {
      return Optional.empty();
    }
    return report.adapters().keySet().stream()
        .filter(
            key -> isStale(key) && isUnused(key) && !isLoading(key) && !withdrawn.containsKey(key))
        .filter(key -> demand.estimate(key, now) >= 1)
        .findFirst()
        .map(EngineOrder.Load::new);
  }

  private boolean isStale(AdapterKey key) {
    return report.adapters().get(key) < versions.of(key);
  }

  /**
   * Tells whether no request runs on an adapter; a reservation waiting for a newer version does not
   * count.
   */
  private boolean isUnused(AdapterKey key) {
    return reservations.values().stream()
        .noneMatch(r -> r.adapter().key().equals(key) && !waiting.containsKey(r.id()));
  }
}
