package org.hornbeamusher.ratelimit;

import java.util.Optional;

/** What an endpoint's answer says of the rate of requests that the endpoint takes. */
public sealed interface StatedLimit {

  /**
   * The endpoint takes this many requests a second, from all entries together.
   *
   * @param requestsPerSecond at least 0
   */
  record PerSecond(double requestsPerSecond) implements StatedLimit {}

  /** The answer states no limit. */
  record None() implements StatedLimit {}

  /** The answer states a limit that cannot be read; it neither sets nor lifts one. */
  record Unreadable() implements StatedLimit {}

  /**
   * Reads a limit.
   *
   * @param text a decimal number of requests a second; empty where the answer states none
   * @return what it says
   */
  static StatedLimit parse(Optional<String> text) {
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
