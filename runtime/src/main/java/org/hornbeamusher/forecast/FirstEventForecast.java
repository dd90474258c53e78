package org.hornbeamusher.forecast;

/**
 * When a request would get its first event at an endpoint.
 *
 * @param estimateMillis time until the event by the cost model of placement
 * @param expectedMillis the estimate, corrected by the errors of recent estimates
 * @param samples number of recent estimates of this endpoint that were compared with the outcome
 * @param ageMillis time since the last of them; -1 if there is none
 */
public record FirstEventForecast(
    long estimateMillis, long expectedMillis, int samples, long ageMillis) {

  /**
   * Returns a forecast that is the estimate itself.
   *
   * @param estimateMillis time until the event by the cost model of placement
   * @return the forecast, without samples
   */
  public static FirstEventForecast uncorrected(long estimateMillis) {
    return new FirstEventForecast(estimateMillis, estimateMillis, 0, -1);
  }
}
