package org.hornbeamusher.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.CallerId;

/** Collects what callers received and what the endpoints did after the warm-up. */
final class RunStatistics {

  /** Batch slots of all endpoints together. */
  private final int slots;

  private final Map<CallerId, CallerTotals> accounts = new HashMap<>();

  /** Refusals by partner, failure type, and whether before or after admission. */
  final Map<String, Integer> refusals = new TreeMap<>();

  final List<LoadStall> stalls = new ArrayList<>();
  int offered;
  int answeredInTime;
  int refused;
  int late;
  long loads;
  private double firstTokenMillis;
  private double busySlotMillis;
  private double ranMillis;
  private double wastedMillis;
  private int running;
  private long lastMillis;

  RunStatistics(int slots) {
    this.slots = slots;
  }

  void requestOffered(Arrival arrival) {
    if (measured(arrival)) {
      offered++;
      account(arrival).demand += work(arrival);
    }
  }

  void requestCompleted(Arrival arrival, long now, Attempt attempt) {
    if (!measured(arrival)) {
      return;
    }
    stalls.add(new LoadStall(arrival.millis(), attempt.stallMillis));
    firstTokenMillis += attempt.firstTokenMillis - arrival.millis();
    if (now <= arrival.deadlineMillis()) {
      answeredInTime++;
      account(arrival).completed += work(arrival);
    } else {
      late++;
    }
  }

  void requestRefused(Arrival arrival, FailureType type, boolean atAdmission) {
    if (measured(arrival)) {
      refused++;
      String where = atAdmission ? " at the door" : " after admission";
      refusals.merge(arrival.tenant().partner() + " " + type.label() + where, 1, Integer::sum);
    }
  }

  /** Records that a batch slot was taken (+1) or became free (-1). */
  void slotsChanged(long now, int change) {
    long from = Math.max(lastMillis, SimulationSizes.WARM_UP_MILLIS);
    long to = Math.min(now, SimulationSizes.END_MILLIS);
    if (to > from) {
      busySlotMillis += (double) (to - from) * running;
    }
    lastMillis = now;
    running += change;
  }

  void runEnded(Arrival arrival, long millis, boolean completed) {
    ranMillis += millis;
    if (!completed) {
      wastedMillis += millis;
    }
  }

  double batchFill() {
    return busySlotMillis / ((double) SimulationSizes.MEASURED_MILLIS * slots);
  }

  /** Mean time from arrival to the first token of completed requests, in milliseconds. */
  double meanFirstToken() {
    return firstTokenMillis / Math.max(1, stalls.size());
  }

  double wastedFraction() {
    return ranMillis == 0 ? 0 : wastedMillis / ranMillis;
  }

  Map<CallerId, CallerTotals> accounts() {
    return accounts;
  }

  /** Available slot-milliseconds in the measured period. */
  double capacity() {
    return (double) SimulationSizes.MEASURED_MILLIS * slots;
  }

  private CallerTotals account(Arrival arrival) {
    return accounts.computeIfAbsent(arrival.caller(), caller -> new CallerTotals(arrival.tenant()));
  }

  /** Work of a request in slot-milliseconds of a full batch. */
  private static double work(Arrival arrival) {
    return arrival.tokens() * SimulationSizes.fullBatchMillisPerToken();
  }

  private static boolean measured(Arrival arrival) {
    return arrival.millis() >= SimulationSizes.WARM_UP_MILLIS;
  }

  /** Work that one caller requested and received, in slot-milliseconds. */
  static final class CallerTotals {
    final Tenant tenant;
    double demand;
    double completed;

    CallerTotals(Tenant tenant) {
      this.tenant = tenant;
    }
  }

  /**
   * How long a completed request waited for an adapter load.
   *
   * @param arrivedMillis time of arrival in virtual milliseconds
   * @param millis wait for the load in milliseconds
   */
  record LoadStall(long arrivedMillis, long millis) {}
}
