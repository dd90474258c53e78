package org.hornbeamusher.holdings;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamusher.directory.HeldAdapter;

/**
 * Decides in which order the adapters that requests wait for are loaded.
 *
 * <p><b>Load.</b> An engine has just started and is empty; two hundred requests for sixty adapters
 * wait there, half of them for five. Loads share the way from the weight store, so each one that is
 * ordered first delays the others. The order is:
 *
 * <ol>
 *   <li>adapters for which a request waits that can still be answered in time, before the others:
 *       served by time alone, a full engine would spend its places on requests that have just
 *       become late;
 *   <li>of these, the adapter that serves most such requests with one load. Served by time, the one
 *       that sixty callers wait for has its turn after those that one each waits for;
 *   <li>of these, the one whose request is due first.
 * </ol>
 *
 * <p>In calm weather one request waits for each adapter, and the order is that of their aims. An
 * adapter in small demand cannot be passed by for good: those before it are loaded and no longer
 * wait.
 */
final class LoadOrder {

  /** A load from the weight store and the reading of a short prompt. */
  private static final long LOAD_MILLIS = 280;

  private LoadOrder() {}

  /**
   * Orders adapters.
   *
   * @param waiting requests whose adapter is not there
   * @param now milliseconds
   * @return for each adapter that is waited for, the request that is due first, of those that can
   *     be answered in time if there is one
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
   * Tells whether a request can no longer be answered in time.
   *
   * @param reservation the request
   * @param now milliseconds
   * @return whether a load would end too late for it
   */
  static boolean late(Reservation reservation, long now) {
    return reservation.aimMillis() - now < LOAD_MILLIS;
  }

  /** The requests that wait for one adapter. */
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
