package org.hornbeamusher.routing;

/**
 * Parameters and feature switches of routing. The switches allow the policy benchmark to measure
 * the effect of each feature.
 *
 * @param candidateCount number of endpoints considered from an adapter's preference order, in
 *     addition to those where it is resident or loading
 * @param crossZoneMillis round trip time to another availability zone
 * @param loadMillis duration of one adapter load at full speed, which is also the minimum load wait
 *     assumed for an endpoint
 * @param prefixSavingMillis prompt processing time saved by a cached prefix
 * @param residency whether endpoints where the adapter is resident or loading are considered in
 *     addition to the preference order
 * @param queueAware whether the queue wait is part of the cost, so that requests move away from
 *     loaded endpoints
 * @param countOwnDispatches whether the entry's own dispatches since a load report are added to the
 *     report
 * @param ejection whether slow or failing endpoints are ejected
 */
public record RoutingSettings(
    int candidateCount,
    long crossZoneMillis,
    long loadMillis,
    long prefixSavingMillis,
    boolean residency,
    boolean queueAware,
    boolean countOwnDispatches,
    boolean ejection) {

  /** Default parameters with all features enabled. */
  public static final RoutingSettings DEFAULT =
      new RoutingSettings(8, 3, 500, 100, true, true, true, true);
}
