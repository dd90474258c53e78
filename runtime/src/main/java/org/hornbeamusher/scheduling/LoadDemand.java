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
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.PartnerId;

/**
 * Orders the adapters that requests wait for.
 *
 * <p>Load pattern: more adapters are wanted than the weight store can give, some by many callers
 * and some by one. In order of arrival a hot adapter waits behind a tail of single requests, and
 * the sum of the stalls is far greater than it need be. By demand alone the tail never comes.
 *
 * <p>An adapter's demand is the sum over its waiting requests of {@code urgency × (1 + waited /
 * ageing) / (1 + recent loads of the caller / its weight)}:
 *
 * <ul>
 *   <li>Urgency is how much the service minds a stall (see {@link Waiting#urgency}): of two
 *       adapters that each one request waits for, a valuation's comes before a roster's.
 *   <li>Ageing: with {@value #AGEING_MILLIS} ms a single request that waited ten seconds weighs as
 *       much as eleven fresh ones, so a rare adapter comes before new hot ones in a time that grows
 *       with how hot these are and is never infinite.
 *   <li>A caller that was just given many loads weighs less, as in proportional-fair scheduling of
 *       radio channels; else one caller that names a new adapter with every request has the store
 *       for itself.
 * </ul>
 *
 * <p>Requests for one adapter share one load because demand is kept by adapter.
 *
 * <p>Between partners the weights must not decide alone, since each writes its own. Every load is
 * charged to the partner with the most demand for it, over its share; a partner that is more than
 * {@value #LEAD_IN_LOADS} loads ahead of another that waits is passed over. Inside that lead the
 * order is by demand. Example: equal shares, partner A floods with 500 adapters, B wants one: A's
 * second and third load may still come first, B's is among the next.
 */
final class LoadDemand {

  private static final double AGEING_MILLIS = 1_000;
  private static final double CALLER_HALF_LIFE_MILLIS = 10_000;
  private static final double LEAD_IN_LOADS = 2;

  private final SchedulerSettings settings;
  private final Map<AdapterRef, Set<Waiting>> byAdapter = new LinkedHashMap<>();
  private final Map<CallerId, DecayedCount> callerLoads = new HashMap<>();
  private final Map<PartnerId, Double> partnerTags = new HashMap<>();

  /** The least tag of a partner that waited when a load was ordered; never falls. */
  private double virtualTag;

  LoadDemand(SchedulerSettings settings) {
    this.settings = settings;
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
    double leastTag = wanted.stream().mapToDouble(Wanted::tag).min().orElse(0);
    return wanted.stream()
        .sorted(
            Comparator.<Wanted, Boolean>comparing(entry -> !entry.within(leastTag))
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
    payer(adapter).ifPresent(this::charge);
  }

  private record Wanted(AdapterRef adapter, double demand, double tag, int share) {

    boolean within(double leastTag) {
      return tag <= leastTag + LEAD_IN_LOADS / share;
    }
  }

  private Wanted wanted(AdapterRef adapter, long now) {
    PartnerId partner = payer(adapter).orElseThrow();
    return new Wanted(adapter, of(adapter, now), tag(partner), share(partner));
  }

  private double demand(Waiting waiting, long now) {
    if (!settings.uses(Mechanism.WEIGHTED_LOADS)) {
      return 1;
    }
    long waited = Math.max(0, now - waiting.request.arrivedMillis());
    double ageing = settings.uses(Mechanism.LOAD_AGEING) ? waited / AGEING_MILLIS : 0;
    DecayedCount loads = callerLoads.get(waiting.request.caller());
    double recent = loads == null ? 0 : loads.at(now);
    double callerWeight = Math.max(1, waiting.request.callerWeight());
    return waiting.urgency() * (1 + ageing) / (1 + recent / callerWeight);
  }

  /** Returns the partner most of whose requests wait for an adapter. */
  private Optional<PartnerId> payer(AdapterRef adapter) {
    Map<PartnerId, Integer> counts = new LinkedHashMap<>();
    waitingFor(adapter).forEach(one -> counts.merge(one.request.partner(), 1, Integer::sum));
    return counts.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey);
  }

  private void charge(PartnerId partner) {
    virtualTag =
        byAdapter.keySet().stream()
            .mapToDouble(ref -> tag(payer(ref).orElseThrow()))
            .min()
            .orElse(virtualTag);
    partnerTags.put(partner, tag(partner) + 1.0 / share(partner));
  }

  /** A partner that wanted nothing for a while starts level with the least of the others. */
  private double tag(PartnerId partner) {
    return Math.max(virtualTag, partnerTags.getOrDefault(partner, 0.0));
  }

  private int share(PartnerId partner) {
    return Math.max(1, settings.partnerShares().getOrDefault(partner, 1));
  }
}
