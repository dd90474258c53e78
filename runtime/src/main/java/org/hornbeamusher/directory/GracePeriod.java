package org.hornbeamusher.directory;

/**
 * Determines how long endpoints that are missing from a list are kept.
 *
 * <p>During an outage of the store no endpoint can renew its list entry, and entries expire. They
 * are back within about two seconds after the outage. A process that was disconnected or suspended
 * sees the same gap between two lists, although the store was available to all others and the
 * missing endpoints have really left. A list does not show which of the two happened, so the grace
 * period must be short enough for the second case:
 *
 * <ul>
 *   <li>a gap in which no entry can have expired starts no grace period;
 *   <li>the period starts at the last request without a response, not at the first response: the
 *       store was unreachable at that time and may have been reachable right after it, so the time
 *       until the next response is part of the period;
 *   <li>it ends at a fixed time, not with the first list after that time.
 * </ul>
 *
 * <p>Example: requests are sent at 10.0 s, 10.9 s and 11.8 s, and only the last one gets a
 * response. With a grace period of 2.7 s, endpoints that are missing from it are kept until 13.6 s.
 * The store may have been back at 10.9 s or at 11.8 s, so expired entries have 1.8 to 2.7 s to
 * return.
 */
final class GracePeriod {

  private static final long NEVER = Long.MIN_VALUE / 2;

  /**
   * Upper bound of the retry interval. A failed request that is older than this does not show when
   * the store became reachable.
   */
  private static final long MAX_RETRY_INTERVAL_MILLIS = 1_000;

  private final EndpointListSettings settings;
  private long receivedMillis = NEVER;
  private long failedRequestMillis = NEVER;
  private long endMillis = NEVER;

  GracePeriod(EndpointListSettings settings) {
    this.settings = settings;
  }

  /** Records that a request sent at this time got no response. */
  void requestFailed(long sentMillis) {
    failedRequestMillis = Math.max(failedRequestMillis, sentMillis);
  }

  /**
   * Records that a list was received. A list that took long to arrive is large or came over a slow
   * link, which is no outage, so the gap ends when the list was requested.
   *
   * @return the gap before the list
   */
  long received(long requestedMillis, long now) {
    long gap = receivedMillis == NEVER ? 0 : Math.max(0, requestedMillis - receivedMillis);
    if (gap > settings.minExpiryGapMillis()) {
      long reachableMillis =
          Math.max(failedRequestMillis, requestedMillis - MAX_RETRY_INTERVAL_MILLIS);
      boolean requestFailed = failedRequestMillis > receivedMillis;
      endMillis = (requestFailed ? reachableMillis : requestedMillis) + settings.graceMillis();
    }
    receivedMillis = now;
    return gap;
  }

  /** Returns whether endpoints missing from a list that was requested at this time are removed. */
  boolean isOver(long requestedMillis) {
    return requestedMillis >= endMillis;
  }

  /** Returns whether the last list is recent enough to remove its missing endpoints by it. */
  boolean isCurrent(long now) {
    return now - receivedMillis <= settings.minExpiryGapMillis();
  }

  /** Returns the remaining time of the period. */
  long remainingMillis(long now) {
    return Math.max(0, endMillis - now);
  }
}
