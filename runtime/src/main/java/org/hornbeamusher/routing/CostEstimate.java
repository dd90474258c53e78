package org.hornbeamusher.routing;

import org.hornbeamusher.documents.ServiceDocument.CostWeights;

/**
 * What sending an attempt to one endpoint costs, in milliseconds.
 *
 * <p>The sum of the wait for a place in the batch, the load stall, the hop and the loss of a cached
 * prefix, plus what the choice costs others: a load occupies the weight store, which all requests
 * that wait for loads share. That part is divided by the demand of the adapter, because a load for
 * an adapter that is asked for often is used by many.
 *
 * <p>A service's weights say how many milliseconds of queueing a millisecond of load stall is
 * worth. With weights 3 to 1 a request queues at a resident home for up to 1.75 times the stall
 * that a load elsewhere would cost; with 1 to 3 for up to 1.25 times. The stall is never counted
 * for less than the time it takes.
 */
final class CostEstimate {

  /** How long a newly loaded adapter is expected to stay, for dividing the cost of its load. */
  private static final double LOAD_HORIZON_SECONDS = 10;

  private static final long SOONEST_LOAD_MILLIS = 50;

  private final RoutingSettings settings;

  /** Entries that share the traffic, this one included. */
  private int entries = 1;

  private long queueMillis;
  private long stallMillis;

  CostEstimate(RoutingSettings settings) {
    this.settings = settings;
  }

  void entryCount(int count) {
    entries = Math.max(1, count);
  }

  /** What a load stall counts for, against a wait in a queue. */
  static double stallFactor(CostWeights weights) {
    double sum = weights.loadStall() + weights.batchEfficiency();
    return sum <= 0 ? 1 : 1 + weights.loadStall() / sum;
  }

  /** Time until the first token at the endpoint that was estimated last. */
  long waitMillis(EndpointState endpoint) {
    return queueMillis + stallMillis + endpoint.hopMillis;
  }

  /** The cost at an endpoint where the adapter is resident or needs no adapter. */
  double resident(EndpointState endpoint) {
    stallMillis = 0;
    queueMillis = settings.queueAware() ? queueWait(endpoint) : 0;
    return queueMillis + endpoint.hopMillis;
  }

  /** The cost at an endpoint that loads the adapter already for another request. */
  double pending(Home home, double stallFactor, long now) {
    double queued = resident(home.endpoint);
    long left = home.pendingMillis - Math.max(0, now - home.pendingSince);
    stallMillis = Math.max(SOONEST_LOAD_MILLIS, left);
    return queued + stallFactor * stallMillis;
  }

  /**
   * The cost at an endpoint that would have to load the adapter. The hop is left out: it would have
   * entries in different availability zones load one cold adapter in two places.
   */
  double absent(EndpointState endpoint, double stallFactor, double demandPerSecond) {
    double queued = resident(endpoint) - endpoint.hopMillis;
    stallMillis = endpoint.loadWaitMillis;
    double delayOfOthers = Math.max(0, endpoint.loadWaitMillis - settings.loadMillis());
    double uses = 1 + entries * demandPerSecond * LOAD_HORIZON_SECONDS;
    return queued + stallFactor * stallMillis + (settings.loadMillis() + delayOfOthers) / uses;
  }

  private long queueWait(EndpointState endpoint) {
    return endpoint.queueWait(
        (long) endpoint.pool.serviceMillis, settings.countOwnDispatches() ? entries : 0);
  }
}
