package org.hornbeamusher.scheduling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.hornbeamusher.ids.AdapterRef;

/**
 * Tracks the adapters resident on one endpoint and chooses which one to evict.
 *
 * <p>An adapter's value is its <em>decayed request frequency</em> weighted by the urgency of its
 * services (how much they weigh load stalls), and the adapter with the lowest value is evicted
 * first. The workload has tens of thousands of adapters, of which a few are hot and the rest form a
 * long tail, and an endpoint has only a few slots. Least recently used eviction would let a burst
 * of rarely used adapters push out the hot ones, each of which then costs a load; the weight store
 * delivers about two loads a second to all endpoints together, so a slot lost in this way is not
 * regained soon.
 *
 * <p>Three rules take precedence over value:
 *
 * <ul>
 *   <li>A pinned adapter is never evicted: a request runs on it. Pins are counted apart from the
 *       map of residents, so that a report which misses an adapter cannot lose its pins.
 *   <li>An adapter with more waiting demand than the new one is never evicted, or two adapters
 *       would evict each other without either being served.
 *   <li>An adapter stays resident for a minimum time. With eight slots and a load time of half a
 *       second, a minimum of one second limits the loads that one endpoint can request to eight a
 *       second. Without it, a tail of single requests would evict an adapter before all the
 *       requests that share its load have started.
 * </ul>
 *
 * <p>The frequency of an evicted adapter is remembered (for at most {@value #MAX_REMEMBERED}
 * adapters; the least frequent are dropped), since otherwise an adapter that returns looks new and
 * is evicted again.
 */
final class Residency {

  /** After two minutes without requests, a hot adapter is outweighed by one a quarter as hot. */
  private static final double HALF_LIFE_MILLIS = 60_000;

  private static final int MAX_REMEMBERED = 4_096;

  private final SchedulerSettings settings;
  private final Map<AdapterRef, Long> residentSince = new LinkedHashMap<>();
  private final Map<AdapterRef, Integer> pins = new HashMap<>();
  private final Map<AdapterRef, Long> lastUse = new HashMap<>();
  private final Map<AdapterRef, DecayedCount> frequency = new HashMap<>();
  private Optional<LoadInFlight> loading = Optional.empty();

  /**
   * The load in progress on the endpoint.
   *
   * @param adapter the adapter that is loaded
   * @param evicted the adapter that is unloaded first
   * @param sinceMillis when the load was started
   */
  record LoadInFlight(AdapterRef adapter, Optional<AdapterRef> evicted, long sinceMillis) {}

  Residency(SchedulerSettings settings) {
    this.settings = settings;
  }

  boolean resident(AdapterRef adapter) {
    return residentSince.containsKey(adapter);
  }

  Set<AdapterRef> residents() {
    return residentSince.keySet();
  }

  Optional<LoadInFlight> loading() {
    return loading;
  }

  boolean pinned(AdapterRef adapter) {
    return pins.containsKey(adapter);
  }

  void pin(AdapterRef adapter) {
    pins.merge(adapter, 1, Integer::sum);
  }

  void unpin(AdapterRef adapter) {
    pins.computeIfPresent(adapter, (key, count) -> count == 1 ? null : Integer.valueOf(count - 1));
  }

  /** Records that a request for an adapter arrived, with the urgency of its service. */
  void recordRequest(AdapterRef adapter, double urgency, long now) {
    removeLeastFrequent(now);
    frequency.computeIfAbsent(adapter, key -> new DecayedCount(HALF_LIFE_MILLIS)).add(urgency, now);
    lastUse.put(adapter, now);
  }

  /**
   * Chooses the slot for a new adapter. A drained adapter is evicted even if its demand has grown
   * since: its own requests were held back for the new adapter, and reversing the decision would
   * serve neither.
   *
   * @param newAdapter the adapter to load
   * @param draining the adapter chosen by {@link #chooseToDrain}, on which no new requests start
   * @param demand waiting demand of an adapter
   * @param now milliseconds
   */
  Placement choosePlacement(
      AdapterRef newAdapter,
      Optional<AdapterRef> draining,
      ToDoubleFunction<AdapterRef> demand,
      long now) {
    int taken = residentSince.size() + (loading.isPresent() ? 1 : 0);
    if (taken < settings.slots()) {
      return new Placement.FreeSlot();
    }
    Optional<AdapterRef> drained = draining.filter(this::resident).filter(ref -> !pinned(ref));
    if (drained.isPresent()) {
      return new Placement.Evict(drained.get());
    }
    return evictionCandidates(newAdapter, demand, now)
        .filter(adapter -> !pinned(adapter))
        .min(byValue(now))
        .<Placement>map(Placement.Evict::new)
        .orElseGet(() -> new Placement.NoRoom(nextMinimumStayEndMillis(now)));
  }

  /**
   * Chooses the busy adapter to drain: the one that is expected to become idle first, since no new
   * request can use its slot until then.
   *
   * @param newAdapter the adapter to load
   * @param demand waiting demand of an adapter
   * @param busyMillis expected time until an adapter's running requests end
   * @param now milliseconds
   */
  Optional<AdapterRef> chooseToDrain(
      AdapterRef newAdapter,
      ToDoubleFunction<AdapterRef> demand,
      ToDoubleFunction<AdapterRef> busyMillis,
      long now) {
    return evictionCandidates(newAdapter, demand, now)
        .min(Comparator.comparingDouble(busyMillis).thenComparing(byValue(now)));
  }

  private Stream<AdapterRef> evictionCandidates(
      AdapterRef newAdapter, ToDoubleFunction<AdapterRef> demand, long now) {
    double wanted = demand.applyAsDouble(newAdapter);
    return residentSince.keySet().stream()
        .filter(adapter -> minimumStayEndMillis(adapter) <= now)
        .filter(adapter -> demand.applyAsDouble(adapter) <= wanted);
  }

  void loadStarted(AdapterRef adapter, Optional<AdapterRef> evicted, long now) {
    evicted.ifPresent(residentSince::remove);
    loading = Optional.of(new LoadInFlight(adapter, evicted, now));
  }

  void loaded(AdapterRef adapter, long now) {
    endLoad(adapter);
    residentSince.putIfAbsent(adapter, now);
  }

  void loadFailed(AdapterRef adapter) {
    endLoad(adapter);
  }

  /** Clears the residents, the pins and the load in progress after a restart of the endpoint. */
  void clear() {
    residentSince.clear();
    pins.clear();
    loading = Optional.empty();
  }

  /**
   * Replaces the residents by those that the endpoint reports. The adapter that a load in progress
   * evicts is left out: the endpoint may still report it for a moment, but a request started on it
   * would find it unloaded.
   */
  void replaceResidents(Set<AdapterRef> held, long now) {
    Set<AdapterRef> kept = new HashSet<>(held);
    loading.flatMap(LoadInFlight::evicted).ifPresent(kept::remove);
    residentSince.keySet().retainAll(kept);
    kept.forEach(adapter -> residentSince.putIfAbsent(adapter, now));
    loading.map(LoadInFlight::adapter).filter(kept::contains).ifPresent(this::endLoad);
  }

  private void endLoad(AdapterRef adapter) {
    loading = loading.filter(order -> !order.adapter().equals(adapter));
  }

  private long minimumStayEndMillis(AdapterRef adapter) {
    if (!settings.uses(SchedulerFeature.MINIMUM_STAY)) {
      return Long.MIN_VALUE;
    }
    return residentSince.get(adapter) + settings.minimumStayMillis();
  }

  private long nextMinimumStayEndMillis(long now) {
    return residentSince.keySet().stream()
        .mapToLong(this::minimumStayEndMillis)
        .filter(end -> end > now)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private Comparator<AdapterRef> byValue(long now) {
    Comparator<AdapterRef> byLastUse =
        Comparator.comparingLong(adapter -> lastUse.getOrDefault(adapter, Long.MIN_VALUE));
    if (!settings.uses(SchedulerFeature.FREQUENCY_EVICTION)) {
      return byLastUse;
    }
    return Comparator.<AdapterRef>comparingDouble(adapter -> frequencyOf(adapter, now))
        .thenComparing(byLastUse);
  }

  private double frequencyOf(AdapterRef adapter, long now) {
    DecayedCount count = frequency.get(adapter);
    return count == null ? 0 : count.at(now);
  }

  private void removeLeastFrequent(long now) {
    if (frequency.size() < MAX_REMEMBERED) {
      return;
    }
    frequency.entrySet().stream()
        .filter(entry -> !resident(entry.getKey()))
        .sorted(Comparator.comparingDouble(entry -> entry.getValue().at(now)))
        .limit(MAX_REMEMBERED / 2)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(
            adapter -> {
              frequency.remove(adapter);
              lastUse.remove(adapter);
            });
  }
}
