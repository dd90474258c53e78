package org.hornbeamusher.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.CallerId;

/** Counts what callers received and what the endpoints did, after the warm-up. */
final class Tally {

  /** Places of all endpoints together. */
  private final int places;

  private final Map<CallerId, Account> accounts = new HashMap<>();

  /** By partner, type and place. */
  final Map<String, Integer> refusals = new TreeMap<>();

  final List<Stall> stalls = new ArrayList<>();
  int offered;
  int answered;
  int refused;
  int late;
  long loads;
  private double firstTokenMillis;
  private double busyPlaceMillis;
  private double ranMillis;
  private double wastedMillis;
  private int running;
  private long lastMillis;

  Tally(int places) {
    this.places = places;
  }

  void offered(Arrival arrival) {
    if (measured(arrival)) {
      offered++;
      account(arrival).demand += work(arrival);
    }
  }

  void answered(Arrival arrival, long now, Attempt attempt) {
    if (!measured(arrival)) {
      return;
    }
    stalls.add(new Stall(arrival.millis(), attempt.stallMillis));
    firstTokenMillis += attempt.firstTokenMillis - arrival.millis();
    if (now <= arrival.deadlineMillis()) {
      answered++;
      account(arrival).answered += work(arrival);
    } else {
      late++;
    }
  }

  void refused(Arrival arrival, FailureType type, boolean atDoor) {
    if (measured(arrival)) {
      refused++;
      String where = atDoor ? " at the door" : " after admission";
      refusals.merge(arrival.tenant().partner() + " " + type.label() + where, 1, Integer::sum);
    }
  }

  /** Notes that a place was taken (+1) or became free (-1). */
  void place(long now, int change) {
    long from = Math.max(lastMillis, Sizes.WARM_UP_MILLIS);
    long to = Math.min(now, Sizes.END_MILLIS);
    if (to > from) {
      busyPlaceMillis += (double) (to - from) * running;
    }
    lastMillis = now;
    running += change;
  }

  void ran(Arrival arrival, long millis, boolean whole) {
    ranMillis += millis;
    if (!whole) {
      wastedMillis += millis;
    }
  }

  double fill() {
    return busyPlaceMillis / ((double) Sizes.MEASURED_MILLIS * places);
  }

  /** From arrival to first token, of those answered. */
  double meanFirstToken() {
    return firstTokenMillis / Math.max(1, stalls.size());
  }

  double wasted() {
    return ranMillis == 0 ? 0 : wastedMillis / ranMillis;
  }

  Map<CallerId, Account> accounts() {
    return accounts;
  }

  /** Place-milliseconds in the measured time. */
  double capacity() {
    return (double) Sizes.MEASURED_MILLIS * places;
  }

  private Account account(Arrival arrival) {
    return accounts.computeIfAbsent(arrival.caller(), caller -> new Account(arrival.tenant()));
  }

  /** Place-milliseconds in a full batch. */
  private static double work(Arrival arrival) {
    return arrival.tokens() * Sizes.fullBatchMillisPerToken();
  }

  private static boolean measured(Arrival arrival) {
    return arrival.millis() >= Sizes.WARM_UP_MILLIS;
  }

  /** What one caller asked for and got, in place-milliseconds. */
  static final class Account {
    final Tenant tenant;
    double demand;
    double answered;

    Account(Tenant tenant) {
      this.tenant = tenant;
    }
  }

  /**
   * How long an answered request waited for a load.
   *
   * @param arrivedMillis when it arrived
   * @param millis its wait
   */
  record Stall(long arrivedMillis, long millis) {}
}
