package org.hornbeamusher.routing;

/**
 * Figures and switches of routing. The switches exist so that the policy benchmark can measure what
 * each mechanism is worth.
 *
 * @param candidateCount how many endpoints of an adapter's preference order are weighed, besides
 *     those where it is resident
 * @param crossZoneMillis round trip to another availability zone
 * @param loadMillis one load at full speed, for endpoints that have not reported yet
 * @param prefixSavingMillis prompt work that a cached prefix saves
 * @param residency whether reports and own dispatches correct the preference order
 * @param queueAware whether load moves work away from the first endpoint in the order
 * @param countOwnDispatches whether own dispatches since a report are added to it
 * @param ejection whether slow endpoints are ejected
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

  /** Every mechanism on. */
  public static final RoutingSettings DEFAULT =
      new RoutingSettings(8, 3, 500, 100, true, true, true, true);
}
