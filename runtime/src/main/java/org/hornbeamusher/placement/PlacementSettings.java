package org.hornbeamusher.placement;

/**
 * The parameters of the placement cost function.
 *
 * @param promptTokensPerMilli prompt processing speed of an engine, from the engines' data sheet
 * @param fetchPriceMillis the price of fetching an adapter from the weight store, expressed in time
 * @param remainingLoadMillis average remaining time of a load in progress
 * @param evictionMillis added to each load for the adapter that has to be evicted first
 * @param crossZoneMillis round trip to another availability zone
 * @param crossZoneMillisPerKilobyte the price of sending a kilobyte to another availability zone,
 *     expressed in time
 * @param preferenceStepMillis added for each position down an adapter's preference order; keeps
 *     entries from loading one adapter at two endpoints at once
 * @param runningRequestMillis what each request already at the endpoint adds to the time to first
 *     event
 * @param delayFraction fraction of the prompt processing time that is added for each request
 *     running there: its next tokens are delayed, and it occupies its adapter slot for longer
 * @param coldStartMillis added for an endpoint in the slow phase after its start
 * @param notLoadableMillis added where an adapter cannot be loaded; exceeds all other differences
 */
public record PlacementSettings(
    double promptTokensPerMilli,
    double fetchPriceMillis,
    double remainingLoadMillis,
    double evictionMillis,
    double crossZoneMillis,
    double crossZoneMillisPerKilobyte,
    double preferenceStepMillis,
    double runningRequestMillis,
    double delayFraction,
    double coldStartMillis,
    double notLoadableMillis) {

  /** Values for engines of the size in use. */
  public static final PlacementSettings DEFAULT =
      new PlacementSettings(44, 150, 150, 20, 5, 1.5, 6, 4, 0.12, 100, 1_000);
}
