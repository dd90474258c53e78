package org.hornbeamusher.ratelimit;

/**
 * An entry's even share of an endpoint's rate, for the time in which it reaches nobody who paces
 * the requests of all entries.
 *
 * <p>The entry sends at most one request in each of its own intervals, at a point of the interval
 * that differs between entries. Permits are not saved up: entries that were idle and are all called
 * at once would send one request each at the same moment.
 */
public final class EvenShare {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final double phase;
  private double lastMillis = Double.NEGATIVE_INFINITY;

  /**
   * Creates a share of which nothing is used.
   *
   * @param phase the part of an interval at which this entry sends, from 0 to 1
   */
  public EvenShare(double phase) {
    this.phase = phase;
  }

  /**
   * Decides about one request.
   *
   * @param perSecond requests a second that the endpoint takes from all entries
   * @param entries how many entries there are
   * @param mostWaitMillis how long it can wait
   * @param now milliseconds
   * @return whether it may be sent
   */
  public PermitDecision permit(double perSecond, int entries, long mostWaitMillis, long now) {
    double rate = Math.max(RatePermits.LEAST_PER_SECOND, perSecond);
    double interval = MILLIS_PER_SECOND * Math.max(1, entries) / rate;
    // Half an interval after the last permit lies before the next one, also when the interval
    // changes and the points move.
    double from = Math.max(now, lastMillis + interval / 2);
    double at = (Math.ceil(from / interval - phase) + phase) * interval;
    long wait = Math.max(0, (long) Math.ceil(at - now));
    if (wait > mostWaitMillis) {
      return new PermitDecision.Refused(wait);
    }
    lastMillis = at;
    return new PermitDecision.Granted(wait);
  }
}
