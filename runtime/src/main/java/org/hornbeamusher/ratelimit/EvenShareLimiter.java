package org.hornbeamusher.ratelimit;

/**
 * Limits an entry to its even share of an endpoint's rate limit while it is connected to no agent
 * that paces the requests of all entries.
 *
 * <p>The entry sends at most one request in each of its intervals, at an offset within the interval
 * that differs between entries. Permits are not saved up: otherwise idle entries that all receive
 * requests at once would send one each at the same moment.
 */
public final class EvenShareLimiter {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final double phase;
  private double lastMillis = Double.NEGATIVE_INFINITY;

  /**
   * Creates an unused share.
   *
   * @param phase offset at which this entry sends, as a fraction of the interval from 0 to 1
   */
  public EvenShareLimiter(double phase) {
    this.phase = phase;
  }

  /**
   * Decides about one request.
   *
   * @param perSecond rate limit of the endpoint for all entries together
   * @param entries number of entries
   * @param maxWaitMillis how long it can wait
   * @param now current time in milliseconds
   * @return whether it may be sent
   */
  public RatePermitDecision tryAcquire(
      double perSecond, int entries, long maxWaitMillis, long now) {
    double rate = Math.max(RatePermits.MIN_REQUESTS_PER_SECOND, perSecond);
    double interval = MILLIS_PER_SECOND * Math.max(1, entries) / rate;
    // Starting half an interval after the last permit skips the point already used, also when the
    // interval changes and the points move.
    double from = Math.max(now, lastMillis + interval / 2);
    double at = (Math.ceil(from / interval - phase) + phase) * interval;
    long wait = Math.max(0, (long) Math.ceil(at - now));
    if (wait > maxWaitMillis) {
      return new RatePermitDecision.Refused(wait);
    }
    lastMillis = at;
    return new RatePermitDecision.Granted(wait);
  }
}
