package org.hornbeamusher.ratelimit;

/**
 * Spaces the requests to one endpoint, as the one process that all entries ask.
 *
 * <p>A generic cell rate algorithm: each permit moves the time at which the next one conforms by
 * one interval, and permits are granted up to one second of requests ahead of it, so that uneven
 * callers get what the endpoint takes. A permit that conforms later is granted with the time to
 * wait. In any window of {@code t} seconds at most {@code rate x t + max(1, rate)} requests are
 * permitted, and one more for the rounding of times.
 */
final class RequestPacer {

  private static final double MILLIS_PER_SECOND = 1_000;

  private double conformsMillis = Double.NEGATIVE_INFINITY;

  /**
   * Decides about one request.
   *
   * @param perSecond requests a second, above 0
   * @param mostWaitMillis how long it can wait
   * @param now milliseconds
   * @return whether it may be sent
   */
  PermitDecision permit(double perSecond, long mostWaitMillis, long now) {
    double interval = MILLIS_PER_SECOND / perSecond;
    double ahead = (Math.max(1, perSecond) - 1) * interval;
    long wait = Math.max(0, (long) Math.ceil(conformsMillis - ahead - now));
    if (wait > mostWaitMillis) {
      return new PermitDecision.Refused(wait);
    }
    conformsMillis = Math.max(conformsMillis, now) + interval;
    return new PermitDecision.Granted(wait);
  }
}
