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
import org.hornbeamusher.directory.HeldAdapter;
import org.hornbeamusher.routes.AdapterKey;
import org.hornbeamusher.routes.VersionsInForce;

/**
 * Decides which adapters the engine beside this agent holds.
 *
 * <p>An engine has few places for adapters, and ordering it to load one more than it has places
 * crashes it. Every entry tells the agent of each request that it sends or wants to send (a
 * reservation), which makes the agent the one point that knows what is in use:
 *
 * <ul>
 *   <li>an adapter with a reservation is never unloaded;
 *   <li>an adapter that is wanted and not there is loaded into a free place, in the order of {@link
 *       LoadOrder};
 *   <li>the last place is kept from requests that will be late anyway, while others that could
 *       still be answered in time have lately had to wait for one;
 *   <li>without a free place, the adapter with the least demand makes way. It is first withdrawn:
 *       entries hear that it is not held any more, and only after {@link #WITHDRAW_MILLIS} is it
 *       unloaded. A request that an entry sent in the meantime brings a reservation with it, and
 *       that takes the withdrawal back;
 *   <li>an adapter of which a newer version was named is not held as far as entries are concerned;
 *       it is replaced once its last reservation has ended.
 * </ul>
 *
 * <p>Example with two places, both taken: A has a reservation, B has none. C is wanted. B is
 * withdrawn at 0 ms, unloaded at 20 ms, and C is ordered when the engine has said that B is gone.
 * Had B been reserved at 10 ms, it would have stayed, and C would wait for A or B to be free.
 *
 * <p>What the engine holds is taken from its reports alone. An order changes what is believed only
 * in the direction that keeps the engine safe: from the moment it is sent, a load takes a place,
 * and an unload frees none until a report says so. Orders go out one at a time, because each
 * carries the number of orders that the engine has accepted so far; an order that is carried out
 * late then finds a different number and is refused.
 *
 * <p>Rejected: unloading at once and letting the engine refuse what was under way (nearly half of
 * all sends came back, and each draws on the retry budget); a lease on each adapter, which has to
 * be renewed.
 */
public final class AdapterPlaces {

  /**
   * Two ways between zones and a loop that is busy for a while: a request sent before the entry
   * heard of the withdrawal has made its reservation by then.
   */
  static final long WITHDRAW_MILLIS = 20;

  /** Entries that are connected make their reservations known within this time of a start. */
  static final long SETTLE_MILLIS = 1_000;

  /**
   * Places that a request which will be late anyway leaves to those that can still be answered in
   * time, while there are such: its run would hold the last one for seconds. Without it, two in
   * three requests that need a load are late on a full day.
   */
  private static final int KEPT_FOR_TIMELY = 1;

  private final int places;
  private final VersionsInForce versions;
  private final long startedMillis;

  private final Map<ReservationId, Reservation> reservations = new LinkedHashMap<>();
  private final Map<ReservationId, Reservation> waiting = new LinkedHashMap<>();
  private final AdapterDemand demand = new AdapterDemand();

  /** When each withdrawn adapter was withdrawn; it is still held by the engine. */
  private final Map<AdapterKey, Long> withdrawn = new HashMap<>();

  /** Loads that were sent and that no report has shown yet. */
  private final Set<AdapterKey> ordered = new HashSet<>();

  private final LoadTimes times;

  /** When a request that could still be answered in time found no place free. */
  private long timelyWaitedMillis = Long.MIN_VALUE / 2;

  private EngineReport report;
  private EngineOrder unanswered;

  /**
   * Creates the decision for an engine of which nothing is known.
   *
   * @param places adapters it holds at once
   * @param versions the newest version of each adapter
   * @param now milliseconds
   */
  public AdapterPlaces(int places, VersionsInForce versions, long now) {
    this.places = places;
    this.times = new LoadTimes(places);
    this.versions = versions;
    this.startedMillis = now;
  }

  /**
   * Takes what the engine says of itself.
   *
   * @param fresh its report
   * @param now milliseconds
   */
  public void reported(EngineReport fresh, long now) {
    measure(fresh, now);
    report = fresh;
    withdrawn.keySet().retainAll(fresh.adapters().keySet());
    if (unanswered == null) {
      ordered.clear();
    }
  }

  private void measure(EngineReport fresh, long now) {
    if (report != null) {
      report.adapters().keySet().stream()
          .filter(key -> !fresh.adapters().containsKey(key))
          .forEach(times::left);
    }
    times.held(fresh.adapters().keySet(), now);
  }

  /**
   * Notes which adapters are in use; to be called whenever reservations have changed.
   *
   * @param now milliseconds
   */
  public void observe(long now) {
    Set<AdapterKey> used = new HashSet<>();
    for (Reservation one : reservations.values()) {
      if (!waiting.containsKey(one.id()) && !one.adapter().key().isBase()) {
        used.add(one.adapter().key());
      }
    }
    times.inUse(used, now);
  }

  /**
   * Returns what it costs to have an adapter here.
   *
   * @return as learnt from the engine's loads and runs so far
   */
  public LoadCosts costs() {
    return times.costs();
  }

  /**
   * Another life of the engine has begun. Requests that were at the former one have ended with it,
   * and entries place what waited there anew; a reservation that was kept would hold an adapter, or
   * load one, for nobody.
   */
  public void restarted() {
    lost();
    reservations.clear();
    waiting.clear();
    times.restarted();
  }

  /** The engine cannot be seen; what it holds is not known. */
  public void lost() {
    report = null;
    unanswered = null;
    ordered.clear();
    times.lost();
    withdrawn.clear();
  }

  /**
   * Takes a reservation.
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
   * The prompt of a request has been read.
   *
   * @param id the reservation
   */
  public void promptRead(ReservationId id) {
    reservations.computeIfPresent(
        id,
        (unused, r) ->
            new Reservation(r.id(), r.adapter(), r.rank(), 0, r.expiresMillis(), r.aimMillis()));
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
   * Ends every reservation of an entry whose connection is lost.
   *
   * @param entry the connection
   */
  public void releaseAll(long entry) {
    reservations.keySet().removeIf(id -> id.entry() == entry);
    waiting.keySet().removeIf(id -> id.entry() == entry);
  }

  /**
   * Returns the reservations that can be used now; each is returned once.
   *
   * @return ids whose adapter the engine holds
   */
  public List<ReservationId> takeGrants() {
    List<ReservationId> granted = new ArrayList<>();
    for (Reservation wanted : waiting.values()) {
      if (usable(wanted.adapter())) {
        granted.add(wanted.id());
      }
    }
    granted.forEach(waiting::remove);
    return granted;
  }

  private boolean usable(HeldAdapter adapter) {
    if (report == null || !report.models().contains(adapter.key().model())) {
      return false;
    }
    if (adapter.key().isBase()) {
      return true;
    }
    Long version = report.adapters().get(adapter.key());
    return version != null && version >= adapter.version() && !replacing(adapter.key());
  }

  private boolean replacing(AdapterKey key) {
    return ordered.contains(key)
        || (unanswered instanceof EngineOrder.Load load && load.key().equals(key));
  }

  /**
   * Returns what entries may count on.
   *
   * @return adapters held at their newest version and not withdrawn, and the base models
   */
  public Set<HeldAdapter> held() {
    Set<HeldAdapter> held = new HashSet<>();
    if (report == null) {
      return held;
    }
    report.models().forEach(model -> held.add(new HeldAdapter(new AdapterKey(model, ""), 1)));
    report
        .adapters()
        .forEach(
            (key, version) -> {
              if (!withdrawn.containsKey(key) && version >= versions.of(key) && !replacing(key)) {
                held.add(new HeldAdapter(key, version));
              }
            });
    return held;
  }

  /**
   * Returns what is on its way.
   *
   * @return adapters ordered or being fetched, at their newest version
   */
  public Set<HeldAdapter> coming() {
    Set<HeldAdapter> coming = new HashSet<>(report == null ? Set.of() : report.pending());
    ordered.forEach(key -> coming.add(new HeldAdapter(key, versions.of(key))));
    return coming;
  }

  /**
   * Tells whether a report is awaited that will change something.
   *
   * @return whether the engine should be asked again soon
   */
  public boolean inMotion() {
    return report == null
        || report.busy()
        || report.models().isEmpty()
        || !report.pending().isEmpty()
        || !ordered.isEmpty()
        || unanswered != null;
  }

  /**
   * Returns what the engine has to do.
   *
   * @param now milliseconds
   * @return the reservations of every entry
   */
  public EngineLoads loads(long now) {
    return new EngineLoads(reservations.values(), sparePlaces(now));
  }

  /**
   * Tells whether time alone may bring an order.
   *
   * @return whether a request waits, or an adapter is about to be unloaded
   */
  public boolean pending() {
    return !waiting.isEmpty() || !withdrawn.isEmpty();
  }

  /**
   * Returns how many more adapters could be loaded without waiting for a request to end.
   *
   * @param now milliseconds
   * @return places that are free or held by unused adapters, less adapters that wait for a place
   *     and, under pressure, less the one that is kept for timely requests
   */
  public int sparePlaces(long now) {
    if (report == null) {
      return 0;
    }
    Set<AdapterKey> wanted = new HashSet<>();
    waiting.values().stream()
        .map(reservation -> reservation.adapter().key())
        .filter(key -> !key.isBase() && !isComing(key) && !report.adapters().containsKey(key))
        .forEach(wanted::add);
    int kept = pressed(now) ? KEPT_FOR_TIMELY : 0;
    return (int) (usablePlaces() - kept - wanted.size());
  }

  /**
   * Decides the next order. Nothing is ordered while an order has no answer.
   *
   * @param models base models of the service; an engine without any is to load the first
   * @param now milliseconds
   * @return the order, or empty when there is nothing to do
   */
  public Optional<EngineOrder> nextOrder(List<String> models, long now) {
    if (report == null || unanswered != null || report.busy() || report.leaving()) {
      return Optional.empty();
    }
    waiting.values().removeIf(wanted -> wanted.expiresMillis() <= now);
    Optional<EngineOrder> order = missingModel(models);
    if (order.isEmpty()) {
      order = wantedAdapter(now);
    }
    if (order.isEmpty()) {
      order = replacement(now);
    }
    order.ifPresent(next -> sent(next, now));
    return order;
  }

  private void sent(EngineOrder order, long now) {
    unanswered = order;
    if (order instanceof EngineOrder.Load load) {
      ordered.add(load.key());
      if (!load.key().isBase() && !report.adapters().containsKey(load.key())) {
        times.ordered(load.key(), now);
      }
    }
  }

  /**
   * Takes the answer to the last order. A report has to be taken before the next one.
   *
   * @param answer what the engine said
   */
  public void answered(OrderAnswer answer) {
    unanswered = null;
    if (answer != OrderAnswer.ACCEPTED && answer != OrderAnswer.UNKNOWN) {
      ordered.clear();
    }
  }

  private Optional<EngineOrder> missingModel(List<String> models) {
    if (!report.models().isEmpty()) {
      return Optional.empty();
    }
    return models.stream()
        .findFirst()
        .map(model -> new EngineOrder.Load(new AdapterKey(model, "")));
  }

  private Optional<EngineOrder> wantedAdapter(long now) {
    for (Reservation wanted : LoadOrder.of(waiting.values(), now)) {
      if (LoadOrder.late(wanted, now) && pressed(now) && usablePlaces() <= KEPT_FOR_TIMELY) {
        return Optional.empty();
      }
      AdapterKey key = wanted.adapter().key();
      boolean model = report.models().contains(key.model());
      if (!model || usable(wanted.adapter()) || key.isBase() || isComing(key)) {
        continue;
      }
      if (report.adapters().containsKey(key)) {
        if (unused(key)) {
          return Optional.of(new EngineOrder.Load(key));
        }
        continue;
      }
      if (report.pending().size() + ordered.size() >= times.window()) {
        return Optional.empty();
      }
      if (taken() < places) {
        return Optional.of(new EngineOrder.Load(key));
      }
      if (!LoadOrder.late(wanted, now)) {
        timelyWaitedMillis = now;
      }
      return makeRoom(now);
    }
    return Optional.empty();
  }

  /**
   * Whether a timely request has had to wait for a place within the time for which one is in use:
   * as long as that, the like of it is expected again.
   */
  private boolean pressed(long now) {
    return now - timelyWaitedMillis < times.useMillis();
  }

  /** Places that are free or held by adapters that nothing runs on. */
  private long usablePlaces() {
    return places - taken() + report.adapters().keySet().stream().filter(this::unused).count();
  }

  private boolean isComing(AdapterKey key) {
    return ordered.contains(key)
        || report.pending().stream().anyMatch(pending -> pending.key().equals(key));
  }

  private int taken() {
    Set<AdapterKey> taken = new HashSet<>(report.adapters().keySet());
    report.pending().forEach(pending -> taken.add(pending.key()));
    taken.addAll(ordered);
    return taken.size();
  }

  private Optional<EngineOrder> makeRoom(long now) {
    for (Map.Entry<AdapterKey, Long> entry : withdrawn.entrySet()) {
      if (now - entry.getValue() >= WITHDRAW_MILLIS && unused(entry.getKey())) {
        return Optional.of(new EngineOrder.Unload(entry.getKey()));
      }
    }
    if (withdrawn.isEmpty() && now - startedMillis >= SETTLE_MILLIS) {
      leastWanted(now).ifPresent(key -> withdrawn.put(key, now));
    }
    return Optional.empty();
  }

  private Optional<AdapterKey> leastWanted(long now) {
    return report.adapters().keySet().stream()
        .filter(this::unused)
        .min(
            Comparator.comparing((AdapterKey key) -> !stale(key))
                .thenComparingDouble(key -> demand.of(key, now)));
  }

  /** A new version of an adapter in demand is fetched before the next request asks for it. */
  private Optional<EngineOrder> replacement(long now) {
    if (report.pending().size() + ordered.size() >= times.window()) {
      return Optional.empty();
    }
    return report.adapters().keySet().stream()
        .filter(key -> stale(key) && unused(key) && !isComing(key) && !withdrawn.containsKey(key))
        .filter(key -> demand.of(key, now) >= 1)
        .findFirst()
        .map(EngineOrder.Load::new);
  }

  private boolean stale(AdapterKey key) {
    return report.adapters().get(key) < versions.of(key);
  }

  /** No request runs on it: a reservation that waits for a newer version does not hold it. */
  private boolean unused(AdapterKey key) {
    return reservations.values().stream()
        .noneMatch(r -> r.adapter().key().equals(key) && !waiting.containsKey(r.id()));
  }
}
