package org.hornbeamusher.ratelimit;

import java.util.OptionalDouble;

/**
 * The rate of requests that one incarnation of an endpoint takes, by its own answers.
 *
 * <p>Answers overtake each other. One that states no limit lifts it only if its request was sent
 * after the last answer that stated one had arrived; an earlier one may have been written before
 * the limit.
 */
public final class EndpointLimit {

  private OptionalDouble requestsPerSecond = OptionalDouble.empty();
  private long statedMillis = Long.MIN_VALUE;
  private long deferredMillis = Long.MIN_VALUE / 2;

  /**
   * Takes what an answer of the endpoint says.
   *
   * @param stated what it says
   * @param succeeded whether it is an answer to the request and not a failure or a refusal, which
   *     need not state the limit
   * @param sentMillis when its request was sent
   * @param now milliseconds
   * @return whether the limit in force has changed
   */
  public boolean answered(StatedLimit stated, boolean succeeded, long sentMillis, long now) {
    OptionalDouble before = requestsPerSecond;
    switch (stated) {
      case StatedLimit.PerSecond limit -> {
        requestsPerSecond = OptionalDouble.of(limit.requestsPerSecond());
        statedMillis = now;
      }
      case StatedLimit.None none -> {
        if (succeeded && sentMillis >= statedMillis) {
          requestsPerSecond = OptionalDouble.empty();
        }
      }
      case StatedLimit.Unreadable unreadable -> {
        // What stands is the best that is known.
      }
    }
    return !before.equals(requestsPerSecond);
  }

  /**
   * Returns the limit in force.
   *
   * @return requests a second from all entries together; empty while the endpoint states none
   */
  public OptionalDouble requestsPerSecond() {
    return requestsPerSecond;
  }

  /**
   * No request is permitted for a while.
   *
   * @param waitMillis for so long
   * @param now milliseconds
   */
  public void defer(long waitMillis, long now) {
    deferredMillis = Math.max(deferredMillis, now + waitMillis);
  }

  /**
   * Returns how long a request has to wait for a permit.
   *
   * @param now milliseconds
   * @return as far as known; 0 while the endpoint states no limit
   */
  public long waitMillis(long now) {
    return requestsPerSecond.isPresent() ? Math.max(0, deferredMillis - now) : 0;
  }

  /**
   * Returns when an answer stated the limit last.
   *
   * @return milliseconds; of no meaning while there is no limit
   */
  public long statedMillis() {
    return statedMillis;
  }
}
