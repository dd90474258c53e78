package org.hornbeamusher.routing;

/**
 * Recent slowness of an endpoint, and its ejection state.
 *
 * <p>Slowness is measured in milliseconds per token, so that it does not depend on the length of
 * the responses; for a plain service it is measured in milliseconds per call.
 */
final class EndpointSpeed {

  /** Weight of a new sample in the moving average, which covers about the last ten samples. */
  private static final double SAMPLE_WEIGHT = 0.15;

  /** Minimum number of samples with which an endpoint is compared with the others. */
  static final int MINIMUM_SAMPLES = 5;

  double slowness;
  int samples;
  int consecutiveFailures;

  /** Time until which the endpoint is ejected; 0 when it is not ejected. */
  long ejectedUntilMillis;

  /** Number of ejections since the endpoint last passed a probe. */
  int ejectionCount;

  /** Whether an attempt that probes the ejected endpoint is in flight. */
  boolean probing;

  void addSample(double sample) {
    slowness = samples == 0 ? sample : slowness + SAMPLE_WEIGHT * (sample - slowness);
    samples++;
  }

  boolean isEjected() {
    return ejectedUntilMillis > 0;
  }

  /** Returns whether the endpoint is ejected and may be probed now. */
  boolean isProbeDue(long now) {
    return isEjected() && now >= ejectedUntilMillis && !probing;
  }

  void reset() {
    ejectedUntilMillis = 0;
    probing = false;
    samples = 0;
    consecutiveFailures = 0;
  }
}
