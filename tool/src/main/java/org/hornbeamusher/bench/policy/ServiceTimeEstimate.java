package org.hornbeamusher.bench.policy;

/**
 * Estimates how long a request occupies its slot in a batch, from completed requests. Not
 * thread-safe.
 *
 * <p>Admission needs the end of a request and not only its start, because a request whose last
 * token misses the deadline is wasted work even if its first token is in time. Within a pool the
 * time is proportional to the tokens, so an exponentially decayed mean of milliseconds per token is
 * enough; about the last fifty requests count.
 */
final class ServiceTimeEstimate {

  private static final double SAMPLE_WEIGHT = 0.02;

  private double millisPerToken;

  /**
   * Creates an estimate.
   *
   * @param firstMillisPerToken initial value, used until a request has completed
   */
  ServiceTimeEstimate(double firstMillisPerToken) {
    this.millisPerToken = firstMillisPerToken;
  }

  /**
   * Records a complete response.
   *
   * @param costTokens expected number of tokens, as given to admission
   * @param millis time from the start on the endpoint to the end
   */
  void record(int costTokens, long millis) {
    if (costTokens > 0) {
      millisPerToken += SAMPLE_WEIGHT * ((double) millis / costTokens - millisPerToken);
    }
  }

  /**
   * Estimates the service time of a request.
   *
   * @param costTokens expected number of tokens
   * @return milliseconds from start to end
   */
  long estimateMillis(int costTokens) {
    return Math.round(millisPerToken * costTokens);
  }
}
