package org.hornbeamusher.routing;

/**
 * Ejects endpoints that are much slower than the median of their pool or fail repeatedly (outlier
 * ejection).
 *
 * <p><b>Problem.</b> An endpoint responds, but takes several times as long as the others, for
 * example because its accelerator is throttled or another tenant loads the host. It passes every
 * health check. Without this class its callers would miss their deadlines as long as this lasts.
 * Only its growing queue would divert requests, too late for those already queued.
 *
 * <p>Each endpoint is compared with the median of its pool, so that none is ejected when all become
 * slower (long prompts, a full pool). It is ejected above three times the median, which is more
 * than the effect of the batch size on the time per token. At most a fifth of the pool is ejected
 * (but one is allowed from three endpoints on), so that ejection does not cost more capacity than
 * the slow endpoints do.
 *
 * <p>After the ejection time one attempt probes the endpoint. A response of normal speed readmits
 * it; a slow one or a failure doubles the ejection time, up to 16 times, so that an endpoint that
 * keeps failing its probes is ejected most of the time.
 */
final class OutlierEjection {

  private static final double EJECTION_RATIO = 3;
  private static final double READMISSION_RATIO = 2;
  private static final int CONSECUTIVE_FAILURE_LIMIT = 5;
  private static final double MAXIMUM_EJECTED_FRACTION = 0.2;
  private static final int MINIMUM_POOL_SIZE = 3;
  private static final long EJECTION_MILLIS = 5_000;
  private static final int MAXIMUM_DOUBLINGS = 4;

  private OutlierEjection() {}

  static void attemptSucceeded(EndpointState endpoint, double slowness, long now) {
    EndpointSpeed health = endpoint.health;
    if (health.probing) {
      readmitOrEject(endpoint, slowness, endpoint.pool.medianSlowness(), now);
      return;
    }
    health.consecutiveFailures = 0;
    sampleObserved(endpoint, slowness, now);
  }

  static void sampleObserved(EndpointState endpoint, double slowness, long now) {
    EndpointSpeed health = endpoint.health;
    if (health.isEjected()) {
      return;
    }
    double median = endpoint.pool.medianSlowness();
    health.addSample(slowness);
    boolean slow =
        health.samples >= EndpointSpeed.MINIMUM_SAMPLES
            && health.slowness > EJECTION_RATIO * median;
    if (slow && median > 0) {
      eject(endpoint, now);
    }
  }

  static void attemptFailed(EndpointState endpoint, long now) {
    EndpointSpeed health = endpoint.health;
    health.consecutiveFailures++;
    if (health.probing || health.consecutiveFailures >= CONSECUTIVE_FAILURE_LIMIT) {
      eject(endpoint, now);
    }
  }

  private static void readmitOrEject(
      EndpointState endpoint, double slowness, double median, long now) {
    if (median > 0 && slowness > READMISSION_RATIO * median) {
      eject(endpoint, now);
      return;
    }
    endpoint.health.reset();
    endpoint.health.ejectionCount = 0;
    endpoint.pool.ejectedCount--;
  }

  private static void eject(EndpointState endpoint, long now) {
    EndpointSpeed health = endpoint.health;
    if (!health.isEjected()) {
      if (endpoint.pool.ejectedCount >= maximumEjected(endpoint.pool.size())) {
        return;
      }
      endpoint.pool.ejectedCount++;
    }
    health.probing = false;
    health.consecutiveFailures = 0;
    health.ejectedUntilMillis =
        now + (EJECTION_MILLIS << Math.min(health.ejectionCount, MAXIMUM_DOUBLINGS));
    health.ejectionCount++;
  }

  private static int maximumEjected(int size) {
    return size < MINIMUM_POOL_SIZE ? 0 : Math.max(1, (int) (size * MAXIMUM_EJECTED_FRACTION));
  }
}
