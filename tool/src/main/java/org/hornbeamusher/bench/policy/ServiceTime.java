package org.hornbeamusher.bench.policy;

/**
 * Learns how long a request occupies its place in a batch, from those that were answered. Not safe
 * for use by several threads at once.
 *
 * <p>Admission needs the end of a request, not only its start: a request whose first token would
 * come in time and whose last would not is work for nobody. Time is proportional to tokens within a
 * pool, so one decayed mean of milliseconds a token is enough; the newest fifty or so count.
 */
final class ServiceTime {

  private static final double SAMPLE_WEIGHT = 0.02;

  private double millisPerToken;

  /**
   * Creates an estimate.
   *
   * @param firstMillisPerToken what to assume until answers have been seen
   */
  ServiceTime(double firstMillisPerToken) {
    this.millisPerToken = firstMillisPerToken;
  }

  /**
   * Records a whole answer.
   *
   * @param costTokens its expected work, as given to admission
   * @param millis from its start on the endpoint to its end
   */
  void answered(int costTokens, long millis) {
    if (costTokens > 0) {
      millisPerToken += SAMPLE_WEIGHT * ((double) millis / costTokens - millisPerToken);
    }
  }

  /**
   * Estimates.
   *
   * @param costTokens expected work
   * @return milliseconds from start to end
   */
  long estimateMillis(int costTokens) {
    return Math.round(millisPerToken * costTokens);
  }
}
