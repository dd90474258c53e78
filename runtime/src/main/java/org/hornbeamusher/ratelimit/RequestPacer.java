package org.hornbeamusher.ratelimit;

/**
 * Paces the requests of all entries to one endpoint.
 *
 * <p>Uses a generic cell rate algorithm: each permit advances the time at which the next one
 * conforms by one interval. Permits are granted up to one second of requests ahead of that time, so
 * that uneven traffic can use the whole limit. A permit that conforms only later is granted with
 * the time to wait. No permits are saved up at the start, because the process before may have
 * granted those of the last second. In any window of {@code t} seconds at most {@code rate x t +
 * max(1, rate)} requests are permitted, plus one for the rounding of times.
 */
final class RequestPacer {

  private static final double MILLIS_PER_SECOND = 1_000;

  private double nextConformingMillis;

  /** Whether a permit was requested before. */
  private boolean started;

  /**
   * Decides whether a request may be sent.
   *
   * @param perSecond requests a second, above 0
   * @param maxWaitMillis how long it can wait
   * @param now current time in milliseconds
   * @return the decision
   */
  RatePermitDecision tryAcquire(double perSecond, long maxWaitMillis, long now) {
    double interval = MILLIS_PER_SECOND / perSecond;
    double ahead = (Math.max(1, perSecond) - 1) * interval;
    if (!started) {
      started = true;
      nextConformingMillis = now + ahead;
    }
    long wait = Math.max(0, (long) Math.ceil(nextConformingMillis - ahead - now));
    if (wait > maxWaitMillis) {
      return new RatePermitDecision.Refused(wait);
    }
    nextConformingMillis = Math.max(nextConformingMillis, now) + interval;
    return new RatePermitDecision.Granted(wait);
  }
}
