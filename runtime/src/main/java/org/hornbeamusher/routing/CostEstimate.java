package org.hornbeamusher.routing;

import org.hornbeamusher.documents.ServiceDocument.CostWeights;

/**
 * Estimates the cost of sending an attempt to an endpoint, in milliseconds.
 *
 * <p>The cost is the sum of the wait for a batch slot, the load stall, the network round trip and
 * the loss of a cached prefix, plus the cost for other requests: a load occupies the weight store,
 * which is shared by all requests that wait for loads. That part is divided by the expected number
 * of uses, because a load of a frequently requested adapter serves many requests.
 *
 * <p>A service's weights determine how many milliseconds of queueing a millisecond of load stall
 * counts for. With weights 3 to 1 a request queues where its adapter is resident for up to 1.75
 * times the stall of a load elsewhere; with 1 to 3 for up to 1.25 times. The stall never counts for
 * less than its actual time.
 */
final class CostEstimate {

  /** Expected residence time of a newly loaded adapter, over which its load cost is divided. */
  private static final double LOAD_HORIZON_SECONDS = 10;

  private static final long MINIMUM_LOAD_REMAINING_MILLIS = 50;

  private final RoutingSettings settings;

  /** Number of entries that share the traffic, including this one. */
  private int entryCount = 1;

  private long queueMillis;
  private long stallMillis;

  CostEstimate(RoutingSettings settings) {
    this.settings = settings;
  }

  void setEntryCount(int count) {
    entryCount = Math.max(1, count);
  }

  /** Returns the weight of load stall time relative to queueing time. */
  static double stallFactor(CostWeights weights) {
    double sum = weights.loadStall() + weights.batchEfficiency();
    return sum <= 0 ? 1 : 1 + weights.loadStall() / sum;
  }

  /**
   * Returns the expected time until the first token at an endpoint, which must be the one whose
   * cost was estimated last.
   */
  long waitMillis(EndpointState endpoint) {
    return queueMillis + stallMillis + endpoint.roundTripMillis;
  }

  /** Returns the cost at an endpoint where the adapter is resident or none is needed. */
  double residentCost(EndpointState endpoint) {
    stallMillis = 0;
    queueMillis = settings.queueAware() ? queueWait(endpoint) : 0;
    return queueMillis + endpoint.roundTripMillis;
  }

  /** Returns the cost at an endpoint that is already loading the adapter. */
  double loadingCost(AdapterReplica replica, double stallFactor, long now) {
    double base = residentCost(replica.endpoint);
    long remainingMillis = replica.expectedLoadMillis - Math.max(0, now - replica.loadStartMillis);
    stallMillis = Math.max(MINIMUM_LOAD_REMAINING_MILLIS, remainingMillis);
    return base + stallFactor * stallMillis;
  }

  /**
   * Returns the cost at an endpoint that would have to load the adapter. The round trip is not
   * included: otherwise entries in different availability zones would load a cold adapter twice.
   */
  double absentCost(EndpointState endpoint, double stallFactor, double demandPerSecond) {
    double base = residentCost(endpoint) - endpoint.roundTripMillis;
    stallMillis = endpoint.loadWaitMillis;
    double delayForOthers = Math.max(0, endpoint.loadWaitMillis - settings.loadMillis());
    double expectedUses = 1 + entryCount * demandPerSecond * LOAD_HORIZON_SECONDS;
    return base
        + stallFactor * stallMillis
        + (settings.loadMillis() + delayForOthers) / expectedUses;
  }

  private long queueWait(EndpointState endpoint) {
    return endpoint.estimateQueueWait(
        (long) endpoint.pool.serviceMillis, settings.countOwnDispatches() ? entryCount : 0);
  }
}
