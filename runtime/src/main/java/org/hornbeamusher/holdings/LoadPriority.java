package org.hornbeamusher.holdings;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamusher.directory.AdapterVersion;

/**
 * Sorts the adapters that requests are waiting for into the order in which they are loaded:
 *
 * <ol>
 *   <li>Adapters with a waiting request that can still meet its target time come first. Sorted by
 *       target time alone, a full engine would spend its slots on requests that have just become
 *       late.
 *   <li>Among these, the adapter with the greatest sum of the weights of such requests comes first.
 *       Sorted by target time, an adapter with sixty waiting callers would be loaded after adapters
 *       with one each.
 *   <li>Among these, the adapter whose request has the earliest target time comes first.
 * </ol>
 *
 * <p><b>Weights.</b> {@link #BY_RANK} weighs a request by its priority: each rank counts a quarter
 * of the one before. Entries give requests beyond their account's fair share a lower priority, so
 * an account with many callers is not loaded for before the others. A request that waits rises by a
 * rank every quarter of a second, so that none is passed over for as long as more urgent ones
 * arrive. {@link #BY_WAITERS} weighs all requests equally.
 *
 * <p><b>Load.</b> The order matters most for an engine that has just started and is empty, with,
 * for example, two hundred requests waiting for sixty adapters and half of them for five. Loads
 * share the bandwidth of the weight store, so each earlier load delays the later ones. It matters
 * as well while more adapters are in demand than there are slots: urgent requests, whose target
 * times are short, would be late for the first slot as often as any other.
 *
 * <p>Under normal load one request waits for each adapter, and the order is that of the ranks and
 * target times. An adapter in low demand is not starved: the adapters ahead of it are loaded and
 * then no longer wait.
 */
public enum LoadPriority {
  /** Requests count the more the more urgent they are and the longer they have waited. */
  BY_RANK {
    @Override
    double weight(Reservation one, long now) {
      long rises = Math.max(0, now - one.sinceMillis()) / AGEING_MILLIS;
      return Math.pow(WEIGHT_PER_RANK, Math.max(0, one.rank() - rises));
    }
  },
  /** All requests count equally. */
  BY_WAITERS {
    @Override
    double weight(Reservation one, long now) {
      return 1;
    }
  };

  /** A load from the weight store plus the processing of a short prompt. */
  private static final long LOAD_MILLIS = 280;

  /** The time of about one load. */
  private static final long AGEING_MILLIS = 250;

  private static final double WEIGHT_PER_RANK = 0.25;

  /** Returns how much a waiting request counts for its adapter. */
  abstract double weight(Reservation one, long now);

  /**
   * Sorts the awaited adapters.
   *
   * @param waiting requests whose adapter is not loaded
   * @param now milliseconds
   * @return for each awaited adapter, the request with the earliest target time, preferring those
   *     that can still meet it
   */
  List<Reservation> sort(Collection<Reservation> waiting, long now) {
    Map<AdapterVersion, AdapterWaiters> wanted = new LinkedHashMap<>();
    waiting.forEach(
        one ->
            wanted
                .computeIfAbsent(one.adapter(), unused -> new AdapterWaiters())
                .add(one, weight(one, now), now));
    return wanted.values().stream()
        .sorted(
            Comparator.comparing((AdapterWaiters one) -> one.onTime == 0)
                .thenComparingDouble(one -> one.onTime == 0 ? -one.all : -one.onTime)
                .thenComparingLong(one -> one.first.targetMillis()))
        .map(one -> one.first)
        .toList();
  }

  /**
   * Tells whether a request can no longer meet its target time.
   *
   * @param reservation the request
   * @param now milliseconds
   * @return whether a load that starts now would end too late for it
   */
  static boolean isLate(Reservation reservation, long now) {
    return reservation.targetMillis() - now < LOAD_MILLIS;
  }

  /** The requests waiting for one adapter. */
  private static final class AdapterWaiters {

    /** Sum of the weights of all requests. */
    private double all;

    /** Sum of the weights of the requests that can still meet their target times. */
    private double onTime;

    private Reservation first;

    void add(Reservation one, double weight, long now) {
      all += weight;
      boolean isOnTime = !isLate(one, now);
      if (isOnTime) {
        onTime += weight;
      }
      if (first == null || isBefore(one, isOnTime, now)) {
        first = one;
      }
    }

    private boolean isBefore(Reservation one, boolean isOnTime, long now) {
      boolean isFirstOnTime = !isLate(first, now);
      return isOnTime == isFirstOnTime ? one.targetMillis() < first.targetMillis() : isOnTime;
    }
  }
}
