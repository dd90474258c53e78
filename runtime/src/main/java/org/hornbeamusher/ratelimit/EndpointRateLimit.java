package org.hornbeamusher.ratelimit;

import java.util.OptionalDouble;

/**
 * The request rate limit of one incarnation of an endpoint, as advertised in its responses.
 *
 * <p>Responses may arrive out of order. One without a limit therefore lifts the limit only if its
 * request was sent after the last response with a limit had arrived; otherwise it may have been
 * written before the limit.
 */
public final class EndpointRateLimit {

  private OptionalDouble requestsPerSecond = OptionalDouble.empty();
  private long advertisedMillis = Long.MIN_VALUE;
  private long deferredUntilMillis = Long.MIN_VALUE / 2;

  /**
   * Records the limit in a response of the endpoint.
   *
   * @param advertised the advertised limit
   * @param succeeded whether the response is a success; failures and refusals may omit the limit
   * @param sentMillis when its request was sent
   * @param now current time in milliseconds
   * @return whether the current limit has changed
   */
  public boolean recordResponse(
      AdvertisedRateLimit advertised, boolean succeeded, long sentMillis, long now) {
    OptionalDouble before = requestsPerSecond;
    switch (advertised) {
      case AdvertisedRateLimit.PerSecond limit -> {
        requestsPerSecond = OptionalDouble.of(limit.requestsPerSecond());
        advertisedMillis = now;
      }
      case AdvertisedRateLimit.None none -> {
        if (succeeded && sentMillis >= advertisedMillis) {
          requestsPerSecond = OptionalDouble.empty();
        }
      }
      case AdvertisedRateLimit.Unreadable unreadable -> {
        // Keeps the current limit.
      }
    }
    return !before.equals(requestsPerSecond);
  }

  /**
   * Returns the current limit.
   *
   * @return requests a second from all entries together; empty if the endpoint has no limit
   */
  public OptionalDouble requestsPerSecond() {
    return requestsPerSecond;
  }

  /**
   * Records that no request will be permitted for a while.
   *
   * @param waitMillis for how long
   * @param now current time in milliseconds
   */
  public void defer(long waitMillis, long now) {
    deferredUntilMillis = Math.max(deferredUntilMillis, now + waitMillis);
  }

  /**
   * Returns how long a request has to wait for a permit, as far as known.
   *
   * @param now current time in milliseconds
   * @return milliseconds; 0 if the endpoint has no limit
   */
  public long waitMillis(long now) {
    return requestsPerSecond.isPresent() ? Math.max(0, deferredUntilMillis - now) : 0;
  }

  /**
   * Returns when a response last advertised the limit.
   *
   * @return milliseconds; undefined if there is no limit
   */
  public long advertisedMillis() {
    return advertisedMillis;
  }
}
