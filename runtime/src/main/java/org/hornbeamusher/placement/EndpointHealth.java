package org.hornbeamusher.placement;

/**
 * How an endpoint has done lately, by this entry's own requests.
 *
 * <p>An endpoint may fail or be slow while its health check passes, so only its answers count. A
 * failure adds a penalty that halves every second; latencies are averaged over about ten answers.
 * The penalty sends requests elsewhere while there is an elsewhere, and fades, so that the endpoint
 * is tried again without a timer or a probe.
 *
 * <p>An engine's <em>pace</em> is how much longer its first events take than its data sheet says,
 * over about twenty answers. Engines differ in speed, and prompts are read between the tokens of
 * what runs already, so that a full engine reads at two thirds of its speed. Without the pace a
 * slow engine gets as many prompts as a fast one and each of them is late.
 */
final class EndpointHealth {

  /** As long as a caller of a plain service may wait; one failure outweighs any queue. */
  private static final double FAILURE_MILLIS = 400;

  private static final double MOST_PENALTY_MILLIS = 3_000;
  private static final double HALF_LIFE_MILLIS = 1_500;
  private static final double NEW_SHARE = 0.15;

  private static final double READ_SHARE = 0.05;

  /** Stands for the answers before the first one: a fifth of a second at the sheet's speed. */
  private static final double PRIOR_MILLIS = 200;

  private static final double MOST_PACE = 4;

  /** How long a run takes before the first one has ended: half a second, on engines seen so far. */
  private static final double PRIOR_RUN_MILLIS = 500;

  /** About ten runs; they differ by their answers' lengths. */
  private static final double NEW_RUN_SHARE = 0.1;

  private double runMillis = PRIOR_RUN_MILLIS;
  private double penalty;
  private long penaltyMillis;
  private double latency;
  private double expectedRead = PRIOR_MILLIS;
  private double takenRead = PRIOR_MILLIS;

  void succeeded(double latencyMillis) {
    latency = latency == 0 ? latencyMillis : latency + NEW_SHARE * (latencyMillis - latency);
  }

  void failed(long now) {
    penalty = Math.min(MOST_PENALTY_MILLIS, penaltyMillis(now) + FAILURE_MILLIS);
    penaltyMillis = now;
  }

  /** Another endpoint answers at its address; nothing but the lack of any other leads back here. */
  void misdirected(long now) {
    penalty = MOST_PENALTY_MILLIS;
    penaltyMillis = now;
  }

  double penaltyMillis(long now) {
    double halves = Math.max(0, now - penaltyMillis) / HALF_LIFE_MILLIS;
    return penalty * Math.pow(0.5, halves);
  }

  void read(double expectedMillis, double takenMillis) {
    expectedRead += READ_SHARE * (expectedMillis - expectedRead);
    takenRead += READ_SHARE * (takenMillis - takenRead);
  }

  /** How many times longer reading takes than the sheet says; at least 1. */
  double pace() {
    return Math.max(1, Math.min(MOST_PACE, takenRead / Math.max(1, expectedRead)));
  }

  /** A run at an engine has ended well. */
  void ran(double takenMillis) {
    runMillis += NEW_RUN_SHARE * (takenMillis - runMillis);
  }

  /** How long a run at an engine takes, on average. */
  double runMillis() {
    return runMillis;
  }

  /** The average time of an answer; 0 before the first one. */
  double latencyMillis() {
    return latency;
  }
}
