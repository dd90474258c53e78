package org.hornbeamusher.placement;

/**
 * Moving averages of an endpoint's failures and latencies, from this entry's own requests.
 *
 * <p>An endpoint may fail or be slow while its health check passes, so only its responses count. A
 * failure adds a penalty that halves every 1.5 s; latencies are averaged over about ten responses.
 * The penalty directs requests to other endpoints, where there are any, and decays, so that the
 * endpoint is tried again without a timer or a probe.
 *
 * <p>An engine's slowdown factor is how many times longer its first events take than its data sheet
 * says, averaged over about twenty responses. Engines differ in speed, and prompts are processed
 * between the decoding steps of the running requests, so that a fully loaded engine processes
 * prompts at two thirds of its nominal speed. Without the factor a slow engine would get as many
 * prompts as a fast one, and the first event of each would be late.
 */
final class EndpointHealth {

  /**
   * As long as a caller of a plain service may wait, so that one failure outweighs any queue there.
   */
  private static final double FAILURE_PENALTY_MILLIS = 400;

  private static final double MAX_PENALTY_MILLIS = 3_000;
  private static final double PENALTY_HALF_LIFE_MILLIS = 1_500;
  private static final double LATENCY_WEIGHT = 0.15;

  private static final double PROMPT_TIME_WEIGHT = 0.05;

  /** Initial value of both prompt processing averages: a prompt of 200 ms at nominal speed. */
  private static final double INITIAL_PROMPT_MILLIS = 200;

  private static final double MAX_SLOWDOWN = 4;

  /** Initial average run time, as observed on the engines in use. */
  private static final double INITIAL_RUN_MILLIS = 500;

  /** Averages over about ten runs, because run times vary with the length of the output. */
  private static final double RUN_TIME_WEIGHT = 0.1;

  private double runMillis = INITIAL_RUN_MILLIS;
  private double penalty;
  private long penaltyUpdatedMillis;
  private double latency;
  private double expectedPromptMillis = INITIAL_PROMPT_MILLIS;
  private double actualPromptMillis = INITIAL_PROMPT_MILLIS;

  void recordLatency(double latencyMillis) {
    latency = latency == 0 ? latencyMillis : latency + LATENCY_WEIGHT * (latencyMillis - latency);
  }

  void recordFailure(long now) {
    penalty = Math.min(MAX_PENALTY_MILLIS, penaltyMillis(now) + FAILURE_PENALTY_MILLIS);
    penaltyUpdatedMillis = now;
  }

  /**
   * Sets the maximum penalty: another endpoint responds at this one's address. It is then chosen
   * only if there is no other.
   */
  void setMaxPenalty(long now) {
    penalty = MAX_PENALTY_MILLIS;
    penaltyUpdatedMillis = now;
  }

  double penaltyMillis(long now) {
    if (penalty == 0) {
      return 0;
    }
    double halfLives = Math.max(0, now - penaltyUpdatedMillis) / PENALTY_HALF_LIFE_MILLIS;
    return penalty * Math.pow(0.5, halfLives);
  }

  void recordPromptTime(double expectedMillis, double takenMillis) {
    expectedPromptMillis += PROMPT_TIME_WEIGHT * (expectedMillis - expectedPromptMillis);
    actualPromptMillis += PROMPT_TIME_WEIGHT * (takenMillis - actualPromptMillis);
  }

  /** Returns how many times longer prompt processing takes than the data sheet says; at least 1. */
  double slowdown() {
    return Math.max(
        1, Math.min(MAX_SLOWDOWN, actualPromptMillis / Math.max(1, expectedPromptMillis)));
  }

  /** Records the duration of a run that completed successfully. */
  void recordRun(double takenMillis) {
    runMillis += RUN_TIME_WEIGHT * (takenMillis - runMillis);
  }

  /** Returns the average duration of a run at the engine. */
  double runMillis() {
    return runMillis;
  }

  /** Returns the average latency; 0 before the first response. */
  double latencyMillis() {
    return latency;
  }
}
