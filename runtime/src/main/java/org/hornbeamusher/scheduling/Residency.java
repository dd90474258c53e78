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
 * Knows what one endpoint holds and chooses what leaves.
 *
 * <p>Load pattern: tens of thousands of adapters, a few hot, a long tail, and only a few slots.
 * Evicting by last use lets a burst of rare adapters push out the hot ones, each of which then
 * costs a load; the weight store gives about two loads a second to everybody, so a slot lost in
 * this way is not won back soon. An adapter is therefore worth its <em>decayed frequency</em> times
 * how much its service minds a stall, and the one worth least leaves.
 *
 * <p>Three rules come before worth:
 *
 * <ul>
 *   <li>A pinned adapter never leaves: a request runs on it. Pins are counted apart from the map of
 *       residents, so that an observation which misses an adapter cannot lose its pins.
 *   <li>An adapter with more waiting demand than the newcomer's never leaves, or two adapters would
 *       evict each other without either being served.
 *   <li>An adapter stays for a minimum time. With eight slots and a load of half a second, a stay
 *       of a second bounds the loads which one endpoint can ask for at eight a second; without it a
 *       tail of single requests makes an adapter leave before the requests that share its load have
 *       all started.
 * </ul>
 *
 * <p>The frequency of an adapter that left is remembered ({@value #REMEMBERED} at most, the least
 * frequent are forgotten), else an adapter that returns looks like a newcomer and leaves again.
 */
final class Residency {

  /** A hot adapter that falls silent is outweighed by one a quarter as hot after two minutes. */
  private static final double HALF_LIFE_MILLIS = 60_000;

  private static final int REMEMBERED = 4_096;

  private final SchedulerSettings settings;
  private final Map<AdapterRef, Long> residentSince = new LinkedHashMap<>();
  private final Map<AdapterRef, Integer> pins = new HashMap<>();
  private final Map<AdapterRef, Long> lastUse = new HashMap<>();
  private final Map<AdapterRef, DecayedCount> frequency = new HashMap<>();
  private Optional<LoadInFlight> loading = Optional.empty();

  /**
   * The order that the endpoint works on.
   *
   * @param adapter what is loaded
   * @param evicted what is unloaded first
   * @param sinceMillis when the order was given
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

  /** Notes that a request for an adapter arrived, whose service minds stalls by {@code urgency}. */
  void requested(AdapterRef adapter, double urgency, long now) {
    forgetLeastFrequent(now);
    frequency.computeIfAbsent(adapter, key -> new DecayedCount(HALF_LIFE_MILLIS)).add(urgency, now);
    lastUse.put(adapter, now);
  }

  /**
   * Chooses the slot for a newcomer. A drained adapter leaves whatever its demand is by now: its
   * own requests were held back for the newcomer, and to change one's mind would serve neither.
   *
   * @param newcomer what is to be loaded
   * @param draining what was chosen by {@link #toDrain} and gets no new requests
   * @param demand waiting demand of an adapter
   * @param now milliseconds
   */
  Placement place(
      AdapterRef newcomer,
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
    return leavers(newcomer, demand, now)
        .filter(adapter -> !pinned(adapter))
        .min(byWorth(now))
        .<Placement>map(Placement.Evict::new)
        .orElseGet(() -> new Placement.NoRoom(nextStayEnd(now)));
  }

  /**
   * Chooses the busy adapter whose slot is freed by starting nothing more on it: the one that will
   * be free first, since until then its slot serves nobody new.
   *
   * @param newcomer what is to be loaded
   * @param demand waiting demand of an adapter
   * @param busyMillis expected time until an adapter's running requests end
   * @param now milliseconds
   */
  Optional<AdapterRef> toDrain(
      AdapterRef newcomer,
      ToDoubleFunction<AdapterRef> demand,
      ToDoubleFunction<AdapterRef> busyMillis,
      long now) {
    return leavers(newcomer, demand, now)
        .min(Comparator.comparingDouble(busyMillis).thenComparing(byWorth(now)));
  }

  private Stream<AdapterRef> leavers(
      AdapterRef newcomer, ToDoubleFunction<AdapterRef> demand, long now) {
    double wanted = demand.applyAsDouble(newcomer);
    return residentSince.keySet().stream()
        .filter(adapter -> stayEnds(adapter) <= now)
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

  /** Forgets what an endpoint lost by a restart, with the pins of what ran on it. */
  void cleared() {
    residentSince.clear();
    pins.clear();
    loading = Optional.empty();
  }

  /**
   * Replaces the residents by what the endpoint says. The adapter that an order under way unloads
   * is left out: the endpoint may name it for a moment longer, and a request started on it would
   * find it gone.
   */
  void observed(Set<AdapterRef> held, long now) {
    Set<AdapterRef> kept = new HashSet<>(held);
    loading.flatMap(LoadInFlight::evicted).ifPresent(kept::remove);
    residentSince.keySet().retainAll(kept);
    kept.forEach(adapter -> residentSince.putIfAbsent(adapter, now));
    loading.map(LoadInFlight::adapter).filter(kept::contains).ifPresent(this::endLoad);
  }

  private void endLoad(AdapterRef adapter) {
    loading = loading.filter(order -> !order.adapter().equals(adapter));
  }

  private long stayEnds(AdapterRef adapter) {
    if (!settings.uses(Mechanism.MINIMUM_STAY)) {
      return Long.MIN_VALUE;
    }
    return residentSince.get(adapter) + settings.minimumStayMillis();
  }

  private long nextStayEnd(long now) {
    return residentSince.keySet().stream()
        .mapToLong(this::stayEnds)
        .filter(end -> end > now)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private Comparator<AdapterRef> byWorth(long now) {
    Comparator<AdapterRef> byLastUse =
        Comparator.comparingLong(adapter -> lastUse.getOrDefault(adapter, Long.MIN_VALUE));
    if (!settings.uses(Mechanism.FREQUENCY_EVICTION)) {
      return byLastUse;
    }
    return Comparator.<AdapterRef>comparingDouble(adapter -> frequencyOf(adapter, now))
        .thenComparing(byLastUse);
  }

  private double frequencyOf(AdapterRef adapter, long now) {
    DecayedCount count = frequency.get(adapter);
    return count == null ? 0 : count.at(now);
  }

  private void forgetLeastFrequent(long now) {
    if (frequency.size() < REMEMBERED) {
      return;
    }
    frequency.entrySet().stream()
        .filter(entry -> !resident(entry.getKey()))
        .sorted(Comparator.comparingDouble(entry -> entry.getValue().at(now)))
        .limit(REMEMBERED / 2)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(
            adapter -> {
              frequency.remove(adapter);
              lastUse.remove(adapter);
            });
  }
}
