package org.hornbeamusher.availability;

/**
 * Whether one incarnation of an endpoint accepts requests of this process, according to its
 * responses.
 *
 * <ul>
 *   <li>A refusal with a Retry-After time blocks requests until then. Neither a later success nor a
 *       shorter time ends the back-off earlier, because responses may arrive out of order.
 *   <li>An endpoint that is leaving never accepts requests again.
 * </ul>
 */
public final class EndpointAvailability {

  private static final long NO_BACKOFF = Long.MIN_VALUE;

  private long backoffEndMillis = NO_BACKOFF;
  private boolean leaving;

  /**
   * Records the Retry-After time of a response.
   *
   * @param retryAfter the time
   * @param now current time in milliseconds
   * @return whether it extends the back-off
   */
  public boolean recordRetryAfter(RetryAfter retryAfter, long now) {
    if (!(retryAfter instanceof RetryAfter.Millis time) || time.millis() == 0) {
      return false;
    }
    long end = saturatedSum(now, time.millis());
    if (end <= backoffEndMillis) {
      return false;
    }
    backoffEndMillis = end;
    return true;
  }

  private static long saturatedSum(long now, long millis) {
    return millis > Long.MAX_VALUE - Math.max(0, now) ? Long.MAX_VALUE : now + millis;
  }

  /**
   * Records that the endpoint is leaving.
   *
   * @return whether this was not known before
   */
  public boolean recordLeaving() {
    boolean changed = !leaving;
    leaving = true;
    return changed;
  }

  /**
   * Returns whether the endpoint is leaving.
   *
   * @return true from the first response that stated it
   */
  public boolean leaving() {
    return leaving;
  }

  /**
   * Returns the remaining back-off.
   *
   * @param now current time in milliseconds
   * @return milliseconds; 0 if the endpoint does not back off
   */
  public long backoffMillis(long now) {
    return backoffEndMillis > now ? backoffEndMillis - now : 0;
  }

  /**
   * Decides whether a request may be sent.
   *
   * @param now current time in milliseconds
   * @return the decision
   */
  public SendDecision decide(long now) {
    if (leaving) {
      return new SendDecision.Never();
    }
    long wait = backoffMillis(now);
    return wait > 0 ? new SendDecision.Later(wait) : new SendDecision.Now();
  }
}
