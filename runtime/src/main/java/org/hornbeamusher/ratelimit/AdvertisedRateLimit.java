package org.hornbeamusher.ratelimit;

import java.util.Optional;

/** The request rate limit advertised in a response of an endpoint. */
public sealed interface AdvertisedRateLimit {

  /**
   * The endpoint accepts a number of requests a second from all entries together.
   *
   * @param requestsPerSecond at least 0
   */
  record PerSecond(double requestsPerSecond) implements AdvertisedRateLimit {}

  /** The response contains no limit. */
  record None() implements AdvertisedRateLimit {}

  /** The response contains an invalid limit, which neither sets nor lifts one. */
  record Unreadable() implements AdvertisedRateLimit {}

  /**
   * Parses a limit.
   *
   * @param text a decimal number of requests a second; empty if the response has no limit
   * @return the limit
   */
  static AdvertisedRateLimit parse(Optional<String> text) {
    if (text.isEmpty()) {
      return new None();
    }
    try {
      double rate = Double.parseDouble(text.get().trim());
      if (Double.isFinite(rate) && rate >= 0) {
        return new PerSecond(rate);
      }
    } catch (NumberFormatException e) {
      return new Unreadable();
    }
    return new Unreadable();
  }
}
