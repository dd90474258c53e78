package org.hornbeamusher.placement;

/**
 * The figures that placing reckons with.
 *
 * @param promptTokensPerMilli how fast an engine reads prompts; from the engines' data sheet
 * @param fetchMillis the price of bringing an adapter from the weight store, expressed in time
 * @param loadingMillis what is left on average of a load under way
 * @param replaceMillis the wait for a place when all are taken by adapters
 * @param zoneMillis the way to another availability zone and back
 * @param zoneMillisPerKilobyte the price of a kilobyte to another zone, expressed in time
 * @param preferenceMillis what each step down an adapter's preference order costs; keeps entries
 *     from loading one adapter at two endpoints at once
 * @param runningMillis what each request already at the endpoint adds to the first event
 * @param delayShare how much of the time in which a prompt is read counts for each request that
 *     runs there: its next tokens wait, and it holds its place for longer
 * @param coldMillis added for an endpoint that has just started and is slow at first
 * @param crowdMillis added where memory is short, beyond any other difference
 */
public record PlacementSettings(
    double promptTokensPerMilli,
    double fetchMillis,
    double loadingMillis,
    double replaceMillis,
    double zoneMillis,
    double zoneMillisPerKilobyte,
    double preferenceMillis,
    double runningMillis,
    double delayShare,
    double coldMillis,
    double crowdMillis) {

  /** For engines of the size in use. */
  public static final PlacementSettings DEFAULT =
      new PlacementSettings(44, 150, 150, 20, 5, 1.5, 6, 4, 0.12, 100, 1_000);
}
