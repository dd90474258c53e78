package org.hornbeamusher.placement;

/**
 * How an endpoint has done lately, by this entry's own requests.
 *
 * <p>An endpoint may fail or be slow while its health check passes, so only its answers count. A
 * failure adds a penalty that halves every second; latencies are averaged over about ten answers.
 * The penalty sends requests elsewhere while there is an elsewhere, and fades, so that the endpoint
 * is tried again without a timer or a probe.
 */
final class EndpointHealth {

  /** As long as a caller of a plain service may wait; one failure outweighs any queue. */
  private static final double FAILURE_MILLIS = 400;

  private static final double MOST_PENALTY_MILLIS = 3_000;
  private static final double HALF_LIFE_MILLIS = 1_500;
  private static final double NEW_SHARE = 0.15;

  private double penalty;
  private long penaltyMillis;
  private double latency;

  void succeeded(double latencyMillis) {
    latency = latency == 0 ? latencyMillis : latency + NEW_SHARE * (latencyMillis - latency);
  }

  void failed(long now) {
    penalty = Math.min(MOST_PENALTY_MILLIS, penaltyMillis(now) + FAILURE_MILLIS);
    penaltyMillis = now;
  }

  double penaltyMillis(long now) {
    double halves = Math.max(0, now - penaltyMillis) / HALF_LIFE_MILLIS;
    return penalty * Math.pow(0.5, halves);
  }

  /** The average time of an answer; 0 before the first one. */
  double latencyMillis() {
    return latency;
  }
}
