package org.hornbeamusher.scheduling;

import java.util.Comparator;

/** A request in the queue or in the batch, with what the scheduler notes about it. */
final class Waiting {

  /** Order within one caller: by start key, then by arrival. */
  static final Comparator<Waiting> ORDER =
      Comparator.<Waiting>comparingDouble(waiting -> waiting.startKey)
          .thenComparingLong(waiting -> waiting.request.ticket());

  private static final long NOT_MISSING = Long.MIN_VALUE;
  private static final double LEAST_URGENCY = 0.05;

  final QueuedRequest request;

  /** Arrival, moved back by twice the expected run time: the bound on how far short overtakes. */
  final double startKey;

  private long missingSince = NOT_MISSING;
  private long stallMillis;
  private long startedMillis;

  Waiting(QueuedRequest request, double startKey) {
    this.request = request;
    this.startKey = startKey;
  }

  /** Notes that the adapter is not resident from now on. */
  void adapterMissing(long now) {
    if (missingSince == NOT_MISSING) {
      missingSince = now;
    }
  }

  /** Notes that the adapter is resident from now on. */
  void adapterPresent(long now) {
    if (missingSince != NOT_MISSING) {
      stallMillis += Math.max(0, now - missingSince);
      missingSince = NOT_MISSING;
    }
  }

  boolean missesAdapter() {
    return missingSince != NOT_MISSING;
  }

  /** Returns the time spent without its adapter so far. */
  long stallMillis(long now) {
    return stallMillis + (missesAdapter() ? Math.max(0, now - missingSince) : 0);
  }

  void started(long now) {
    startedMillis = now;
  }

  long startedMillis() {
    return startedMillis;
  }

  /**
   * Returns how much the service minds a stall, from just above 0 to 1: the load-stall weight as a
   * part of both weights. Taken as a part, a document cannot buy precedence by large numbers alone.
   */
  double urgency() {
    double stall = Math.max(0, request.weights().loadStall());
    double fill = Math.max(0, request.weights().batchEfficiency());
    return stall + fill == 0 ? 0.5 : Math.max(LEAST_URGENCY, stall / (stall + fill));
  }
}
