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
 *   <li>Among these, the adapter with the most such requests comes first. Sorted by target time, an
 *       adapter with sixty waiting callers would be loaded after adapters with one each.
 *   <li>Among these, the adapter whose request has the earliest target time comes first.
 * </ol>
 *
 * <p><b>Load.</b> The order matters most for an engine that has just started and is empty, with,
 * for example, two hundred requests waiting for sixty adapters and half of them for five. Loads
 * share the bandwidth of the weight store, so each earlier load delays the later ones.
 *
 * <p>Under normal load one request waits for each adapter, and the order is that of the target
 * times. An adapter in low demand is not starved: the adapters ahead of it are loaded and then no
 * longer wait.
 */
final class LoadPriority {

  /** A load from the weight store plus the processing of a short prompt. */
  private static final long LOAD_MILLIS = 280;

  private LoadPriority() {}

  /**
   * Sorts the awaited adapters.
   *
   * @param waiting requests whose adapter is not loaded
   * @param now milliseconds
   * @return for each awaited adapter, the request with the earliest target time, preferring those
   *     that can still meet it
   */
  static List<Reservation> sort(Collection<Reservation> waiting, long now) {
    Map<AdapterVersion, AdapterWaiters> wanted = new LinkedHashMap<>();
    waiting.forEach(
        one -> wanted.computeIfAbsent(one.adapter(), unused -> new AdapterWaiters()).add(one, now));
    return wanted.values().stream()
        .sorted(
            Comparator.comparing((AdapterWaiters one) -> one.onTime == 0)
                .thenComparingInt(one -> one.onTime == 0 ? -one.all : -one.onTime)
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

    private int all;
    private int onTime;
    private Reservation first;

    void add(Reservation one, long now) {
      all++;
      boolean isOnTime = !isLate(one, now);
      if (isOnTime) {
        onTime++;
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
