package org.hornbeamusher.scheduling;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.pacing.PartnerTurns;

/**
 * Orders the adapters that requests wait for.
 *
 * <p>Load pattern: more adapters are wanted than the weight store can give, some by many callers
 * and some by one. In order of arrival a hot adapter waits behind a tail of single requests, and
 * the sum of the stalls is far greater than it need be. By demand alone the tail never comes.
 *
 * <p>An adapter's demand is the sum over its waiting requests of {@code urgency × (1 + (waited /
 * ageing)²) / (1 + recent loads of the caller / its weight)}:
 *
 * <ul>
 *   <li>Urgency is how much the service minds a stall (see {@link Waiting#urgency}): of two
 *       adapters that each one request waits for, a valuation's comes before a roster's.
 *   <li>Ageing: a request that waited {@value #AGEING_MILLIS} ms weighs as much as two fresh ones,
 *       and one that waited three times as long as ten. The square leaves the order of those that
 *       came lately to demand, which gives the least stall in all (ageing in proportion from one
 *       second on gave half as much again under bursts), and still brings a rare adapter before new
 *       hot ones in a time that grows with how hot these are and is never infinite.
 *   <li>A caller that was just given many loads weighs less, as in proportional-fair scheduling of
 *       radio channels; else one caller that names a new adapter with every request has the store
 *       for itself.
 * </ul>
 *
 * <p>Requests for one adapter share one load because demand is kept by adapter.
 *
 * <p>Between partners the weights must not decide alone, since each writes its own: {@link
 * PartnerTurns} holds each to its share of the loads, and demand decides within that.
 */
final class LoadDemand {

  private static final double AGEING_MILLIS = 8_000;
  private static final double CALLER_HALF_LIFE_MILLIS = 10_000;

  private final SchedulerSettings settings;
  private final Map<AdapterRef, Set<Waiting>> byAdapter = new LinkedHashMap<>();
  private final Map<CallerId, DecayedCount> callerLoads = new HashMap<>();
  private final PartnerTurns turns;

  /** The partners that wanted a load when the order was last asked for. */
  private Set<PartnerId> wanting = Set.of();

  LoadDemand(SchedulerSettings settings) {
    this.settings = settings;
    this.turns = new PartnerTurns(settings.partnerShares());
  }

  void add(Waiting waiting) {
    waiting
        .request
        .adapter()
        .ifPresent(
            ref -> byAdapter.computeIfAbsent(ref, key -> new LinkedHashSet<>()).add(waiting));
  }

  void remove(Waiting waiting) {
    waiting
        .request
        .adapter()
        .ifPresent(
            ref ->
                byAdapter.computeIfPresent(
                    ref,
                    (key, all) -> {
                      all.remove(waiting);
                      return all.isEmpty() ? null : all;
                    }));
  }

  /** Returns the requests that wait for an adapter. */
  Collection<Waiting> waitingFor(AdapterRef adapter) {
    return byAdapter.getOrDefault(adapter, Set.of());
  }

  /** Returns the weighted demand for an adapter, 0 when nobody waits. */
  double of(AdapterRef adapter, long now) {
    double sum = 0;
    for (Waiting waiting : waitingFor(adapter)) {
      sum += demand(waiting, now);
    }
    return sum;
  }

  /** Returns how many adapters fulfil a condition and are waited for. */
  long count(Predicate<AdapterRef> condition) {
    return byAdapter.keySet().stream().filter(condition).count();
  }

  /**
   * Returns the adapters to load, the most wanted first.
   *
   * @param loadable which may be loaded now
   * @param now milliseconds
   */
  List<AdapterRef> order(Predicate<AdapterRef> loadable, long now) {
    List<Wanted> wanted =
        byAdapter.keySet().stream().filter(loadable).map(ref -> wanted(ref, now)).toList();
    if (!settings.uses(Mechanism.WEIGHTED_LOADS)) {
      return wanted.stream().map(Wanted::adapter).toList();
    }
    wanting = wanted.stream().map(Wanted::partner).collect(Collectors.toSet());
    Set<PartnerId> entitled = turns.entitled(wanting);
    return wanted.stream()
        .sorted(
            Comparator.<Wanted, Boolean>comparing(entry -> !entitled.contains(entry.partner))
                .thenComparing(Comparator.comparingDouble(Wanted::demand).reversed())
                .thenComparing(Wanted::adapter))
        .map(Wanted::adapter)
        .toList();
  }

  /** Charges a load that was ordered to the callers and the partner it is for. */
  void ordered(AdapterRef adapter, long now) {
    Collection<Waiting> served = waitingFor(adapter);
    for (Waiting waiting : served) {
      callerLoads
          .computeIfAbsent(
              waiting.request.caller(), key -> new DecayedCount(CALLER_HALF_LIFE_MILLIS))
          .add(1.0 / served.size(), now);
    }
    callerLoads.values().removeIf(count -> count.at(now) < 0.01);
    payer(adapter).ifPresent(partner -> turns.charge(partner, wanting));
  }

  private record Wanted(AdapterRef adapter, double demand, PartnerId partner) {}

  private Wanted wanted(AdapterRef adapter, long now) {
    return new Wanted(adapter, of(adapter, now), payer(adapter).orElseThrow());
  }

  private double demand(Waiting waiting, long now) {
    if (!settings.uses(Mechanism.WEIGHTED_LOADS)) {
      return 1;
    }
    long waited = Math.max(0, now - waiting.request.arrivedMillis());
    double age = settings.uses(Mechanism.LOAD_AGEING) ? waited / AGEING_MILLIS : 0;
    DecayedCount loads = callerLoads.get(waiting.request.caller());
    double recent = loads == null ? 0 : loads.at(now);
    double callerWeight = Math.max(1, waiting.request.callerWeight());
    return waiting.urgency() * (1 + age * age) / (1 + recent / callerWeight);
  }

  /** Returns the partner most of whose requests wait for an adapter. */
  Optional<PartnerId> payer(AdapterRef adapter) {
    Map<PartnerId, Integer> counts = new LinkedHashMap<>();
    waitingFor(adapter).forEach(one -> counts.merge(one.request.partner(), 1, Integer::sum));
    return counts.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey);
  }
}
