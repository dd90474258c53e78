package org.hornbeamusher.forecast;

/**
 * Schedules the returns of refused callers at one entry for one kind of capacity.
 *
 * <p>Time is divided into intervals in which one request's capacity becomes free for returning
 * callers. Each refused caller gets the first interval that is not promised yet, at a random point
 * within it. Callers that are refused at once therefore return one after the other, in the order of
 * their refusals, and no interval gets more returns than capacity. The random point keeps the
 * schedules of several entries from falling into step.
 *
 * <p>A caller that cannot use its interval any more gets no promise, and the interval stays free.
 *
 * <p>Example: five requests a second become free for returns, and four callers are refused at the
 * same moment. They return after 0 to 200, 200 to 400, 400 to 600 and 600 to 800 ms.
 */
public final class ReturnSchedule {

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Lower bound of the rate, so that a forecast without any capacity is a finite time. */
  private static final double MIN_PER_SECOND = 0.1;

  /** The beginning of the first interval that is not promised. */
  private double freeFromMillis = Double.NEGATIVE_INFINITY;

  /**
   * Schedules the return of a caller.
   *
   * @param now milliseconds
   * @param earliestMillis delay before which it would be refused again
   * @param latestMillis delay after which a return is of no use to it
   * @param perSecond requests a second for which capacity becomes free for returning callers
   * @param position where in its interval the caller returns, from 0 to below 1
   * @return the time
   */
  public ReturnTime next(
      long now, long earliestMillis, long latestMillis, double perSecond, double position) {
    double interval = MILLIS_PER_SECOND / Math.max(MIN_PER_SECOND, perSecond);
    double begin = Math.max(now + (double) earliestMillis, freeFromMillis);
    long delay = Math.round(begin + position * interval) - now;
    if (delay > latestMillis) {
      return new ReturnTime.TooLate(delay);
    }
    freeFromMillis = begin + interval;
    return new ReturnTime.Promised(delay);
  }

  /**
   * Returns for how long all capacity for returning callers is promised.
   *
   * @param now milliseconds
   * @return milliseconds from now, at least 0
   */
  public long promisedMillis(long now) {
    return Math.max(0, Math.round(Math.max(freeFromMillis, now) - now));
  }
}
