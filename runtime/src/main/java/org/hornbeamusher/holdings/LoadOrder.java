package org.hornbeamusher.holdings;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamusher.directory.HeldAdapter;

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
final class LoadOrder {

  /** A load from the weight store plus the processing of a short prompt. */
  private static final long LOAD_MILLIS = 280;

  private LoadOrder() {}

  /**
   * Sorts the awaited adapters.
   *
   * @param waiting requests whose adapter is not loaded
   * @param now milliseconds
   * @return for each awaited adapter, the request with the earliest target time, preferring those
   *     that can still meet it
   */
  static List<Reservation> of(Collection<Reservation> waiting, long now) {
    Map<HeldAdapter, Wanted> wanted = new LinkedHashMap<>();
    waiting.forEach(
        one -> wanted.computeIfAbsent(one.adapter(), unused -> new Wanted()).add(one, now));
    return wanted.values().stream()
        .sorted(
            Comparator.comparing((Wanted one) -> one.timely == 0)
                .thenComparingInt(one -> one.timely == 0 ? -one.all : -one.timely)
                .thenComparingLong(one -> one.first.aimMillis()))
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
  static boolean late(Reservation reservation, long now) {
    return reservation.aimMillis() - now < LOAD_MILLIS;
  }

  /** The requests waiting for one adapter. */
  private static final class Wanted {

    private int all;
    private int timely;
    private Reservation first;

    void add(Reservation one, long now) {
      all++;
      boolean inTime = !late(one, now);
      if (inTime) {
        timely++;
      }
      if (first == null || before(one, inTime, now)) {
        first = one;
      }
    }

    private boolean before(Reservation one, boolean inTime, long now) {
      boolean firstInTime = !late(first, now);
      return inTime == firstInTime ? one.aimMillis() < first.aimMillis() : inTime;
    }
  }
}
