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
import org.hornbeamusher.pacing.PartnerFairShares;

/**
 * Orders the adapters that requests wait for by demand.
 *
 * <p>The demand for an adapter is the sum over its waiting requests of {@code urgency × (1 +
 * (waited / ageing)²) / (1 + recent loads of the caller / its weight)}:
 *
 * <ul>
 *   <li>Urgency is the weight that the service gives to load stalls (see {@link
 *       ScheduledRequest#urgency}): of two adapters with one waiting request each, the one of a
 *       valuation service is loaded before that of a roster service.
 *   <li>Ageing: a request that waited {@value #AGEING_MILLIS} ms weighs as much as two new ones,
 *       and one that waited three times as long as ten. The square leaves the order of recent
 *       requests to demand, which gives the lowest total stall (linear ageing from one second on
 *       gave half as much again under bursts). It still loads a rarely used adapter before new hot
 *       ones, after a finite time that grows with how hot these are.
 *   <li>A caller that was recently given many loads weighs less, as in proportional-fair scheduling
 *       of radio channels; otherwise one caller that names a new adapter with every request would
 *       have the weight store to itself.
 * </ul>
 *
 * <p>This addresses the case in which more adapters are wanted than the weight store can deliver,
 * some by many callers and some by one. In order of arrival a hot adapter waits behind a tail of
 * single requests, and the total stall is far greater than necessary. By demand without ageing the
 * tail is never loaded.
 *
 * <p>Requests for the same adapter share one load because demand is kept by adapter.
 *
 * <p>The weights must not decide alone between partners, since each partner writes its own: {@link
 * PartnerFairShares} limits each partner to its share of the loads, and demand decides within that.
 */
final class LoadDemand {

  private static final double AGEING_MILLIS = 8_000;
  private static final double CALLER_HALF_LIFE_MILLIS = 10_000;

  private final SchedulerSettings settings;
  private final Map<AdapterRef, Set<ScheduledRequest>> byAdapter = new LinkedHashMap<>();
  private final Map<CallerId, DecayedCount> callerLoads = new HashMap<>();
  private final PartnerFairShares partnerFairShares;

  /** The partners that wanted a load when {@link #order} was last called. */
  private Set<PartnerId> waitingPartners = Set.of();

  LoadDemand(SchedulerSettings settings) {
    this.settings = settings;
    this.partnerFairShares = new PartnerFairShares(settings.partnerShares());
  }

  void add(ScheduledRequest waiting) {
    waiting
        .request
        .adapter()
        .ifPresent(
            ref -> byAdapter.computeIfAbsent(ref, key -> new LinkedHashSet<>()).add(waiting));
  }

  void remove(ScheduledRequest waiting) {
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
  Collection<ScheduledRequest> waitingFor(AdapterRef adapter) {
    return byAdapter.getOrDefault(adapter, Set.of());
  }

  /** Returns the weighted demand for an adapter, 0 if no request waits for it. */
  double demandFor(AdapterRef adapter, long now) {
    double sum = 0;
    for (ScheduledRequest waiting : waitingFor(adapter)) {
      sum += demand(waiting, now);
    }
    return sum;
  }

  /** Returns how many adapters with waiting requests satisfy a condition. */
  long count(Predicate<AdapterRef> condition) {
    return byAdapter.keySet().stream().filter(condition).count();
  }

  /**
   * Returns the adapters to load, in the order in which to load them.
   *
   * @param loadable which adapters may be loaded now
   * @param now milliseconds
   */
  List<AdapterRef> order(Predicate<AdapterRef> loadable, long now) {
    List<Candidate> candidates =
        byAdapter.keySet().stream().filter(loadable).map(ref -> candidate(ref, now)).toList();
    if (!settings.uses(SchedulerFeature.WEIGHTED_LOADS)) {
      return candidates.stream().map(Candidate::adapter).toList();
    }
    waitingPartners = candidates.stream().map(Candidate::partner).collect(Collectors.toSet());
    Set<PartnerId> entitled = partnerFairShares.entitled(waitingPartners);
    return candidates.stream()
        .sorted(
            Comparator.<Candidate, Boolean>comparing(entry -> !entitled.contains(entry.partner))
                .thenComparing(Comparator.comparingDouble(Candidate::demand).reversed())
                .thenComparing(Candidate::adapter))
        .map(Candidate::adapter)
        .toList();
  }

  /** Charges a load that was started to the callers and the partner that it serves. */
  void loadStarted(AdapterRef adapter, long now) {
    Collection<ScheduledRequest> served = waitingFor(adapter);
    for (ScheduledRequest waiting : served) {
      callerLoads
          .computeIfAbsent(
              waiting.request.caller(), key -> new DecayedCount(CALLER_HALF_LIFE_MILLIS))
          .add(1.0 / served.size(), now);
    }
    callerLoads.values().removeIf(count -> count.at(now) < 0.01);
    chargedPartner(adapter)
        .ifPresent(partner -> partnerFairShares.charge(partner, waitingPartners));
  }

  private record Candidate(AdapterRef adapter, double demand, PartnerId partner) {}

  private Candidate candidate(AdapterRef adapter, long now) {
    return new Candidate(adapter, demandFor(adapter, now), chargedPartner(adapter).orElseThrow());
  }

  private double demand(ScheduledRequest waiting, long now) {
    if (!settings.uses(SchedulerFeature.WEIGHTED_LOADS)) {
      return 1;
    }
    long waited = Math.max(0, now - waiting.request.arrivedMillis());
    double age = settings.uses(SchedulerFeature.LOAD_AGEING) ? waited / AGEING_MILLIS : 0;
    DecayedCount loads = callerLoads.get(waiting.request.caller());
    double recent = loads == null ? 0 : loads.at(now);
    double callerWeight = Math.max(1, waiting.request.callerWeight());
    return waiting.urgency() * (1 + age * age) / (1 + recent / callerWeight);
  }

  /** Returns the partner with the most requests waiting for an adapter; it is charged the load. */
  Optional<PartnerId> chargedPartner(AdapterRef adapter) {
    Map<PartnerId, Integer> counts = new LinkedHashMap<>();
    waitingFor(adapter).forEach(one -> counts.merge(one.request.partner(), 1, Integer::sum));
    return counts.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey);
  }
}
