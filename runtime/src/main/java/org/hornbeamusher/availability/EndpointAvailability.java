package org.hornbeamusher.availability;

/**
 * What one incarnation of an endpoint has said to this process of whether it takes requests.
 *
 * <ul>
 *   <li>A refusal that names a time to come back binds this process until then. Neither a later
 *       success nor a shorter time ends it earlier: answers overtake each other.
 *   <li>An endpoint that is leaving never takes requests again.
 * </ul>
 */
public final class EndpointAvailability {

  private static final long NEVER = Long.MIN_VALUE;

  private long backoffEndMillis = NEVER;
  private boolean leaving;

  /**
   * Takes what an answer says of when requests are taken again.
   *
   * @param stated what it says
   * @param now milliseconds
   * @return whether the endpoint asks for a longer pause than known
   */
  public boolean answered(StatedRetryAfter stated, long now) {
    if (!(stated instanceof StatedRetryAfter.Millis time) || time.millis() == 0) {
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
   * Takes an answer's statement that the endpoint is leaving.
   *
   * @return whether this was not known
   */
  public boolean statedLeaving() {
    boolean changed = !leaving;
    leaving = true;
    return changed;
  }

  /**
   * Returns whether an answer has said that the endpoint is leaving.
   *
   * @return true from the first such answer on
   */
  public boolean leaving() {
    return leaving;
  }

  /**
   * Returns how much longer the endpoint wants no request of this process.
   *
   * @param now milliseconds
   * @return milliseconds; 0 when it takes requests
   */
  public long backoffMillis(long now) {
    return backoffEndMillis > now ? backoffEndMillis - now : 0;
  }

  /**
   * Decides whether a request may be sent.
   *
   * @param now milliseconds
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
