package org.hornbeamusher.scheduling;

import java.util.Comparator;

/** A queued or running request, with the scheduler's state for it. */
final class ScheduledRequest {

  /** Order within one caller: by start key, then by ticket. */
  static final Comparator<ScheduledRequest> ORDER =
      Comparator.<ScheduledRequest>comparingDouble(waiting -> waiting.startKey)
          .thenComparingLong(waiting -> waiting.request.ticket());

  private static final long NOT_MISSING = Long.MIN_VALUE;
  private static final double MIN_URGENCY = 0.05;

  final QueuedRequest request;

  /**
   * Arrival time plus twice the expected run time, which limits how far short requests overtake.
   */
  final double startKey;

  private long missingSince = NOT_MISSING;
  private long stallMillis;
  private long startedMillis;

  ScheduledRequest(QueuedRequest request, double startKey) {
    this.request = request;
    this.startKey = startKey;
  }

  /** Records that the adapter is not resident from now on. */
  void adapterMissing(long now) {
    if (missingSince == NOT_MISSING) {
      missingSince = now;
    }
  }

  /** Records that the adapter is resident from now on. */
  void adapterPresent(long now) {
    if (missingSince != NOT_MISSING) {
      stallMillis += Math.max(0, now - missingSince);
      missingSince = NOT_MISSING;
    }
  }

  boolean awaitsAdapter() {
    return missingSince != NOT_MISSING;
  }

  /** Returns the time that the request has waited for its adapter so far. */
  long stallMillis(long now) {
    return stallMillis + (awaitsAdapter() ? Math.max(0, now - missingSince) : 0);
  }

  void started(long now) {
    startedMillis = now;
  }

  long startedMillis() {
    return startedMillis;
  }

  /**
   * Returns how much the service weighs load stalls, from just above 0 to 1: its load-stall weight
   * as a fraction of the sum of its weights. As a fraction, a service document cannot gain
   * precedence by large numbers alone.
   */
  double urgency() {
    double stall = Math.max(0, request.weights().loadStall());
    double fill = Math.max(0, request.weights().batchEfficiency());
    return stall + fill == 0 ? 0.5 : Math.max(MIN_URGENCY, stall / (stall + fill));
  }
}
