package org.hornbeamusher.availability;

import java.util.List;

/** When an endpoint accepts requests of this process again, according to a refusal. */
public sealed interface RetryAfter {

  /** The name of the response header. */
  String FIELD = "retry-after";

  /** The status of a refusal that concerns the endpoint. */
  int SERVICE_UNAVAILABLE = 503;

  /** The status of a refusal that concerns the caller. */
  int TOO_MANY_REQUESTS = 429;

  /**
   * The endpoint accepts no requests for a time.
   *
   * @param millis the time, at least 0
   */
  record Millis(long millis) implements RetryAfter {}

  /** The response contains no time. */
  record None() implements RetryAfter {}

  /** The response contains an invalid time, which is ignored. */
  record Unreadable() implements RetryAfter {}

  /**
   * Reads the time from a response. Only refusals are considered, because in other responses the
   * header has another meaning (RFC 9110, section 10.2.3).
   *
   * @param status the status of the response
   * @param values the values of its {@code Retry-After} headers
   * @return the time
   */
  static RetryAfter of(int status, List<String> values) {
    boolean refusal = status == SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS;
    return refusal ? parse(values) : new None();
  }

  /**
   * Parses {@code Retry-After} values. The longest valid one of several applies.
   *
   * @param values decimal numbers of seconds; empty if the response has no such header
   * @return the time
   */
  static RetryAfter parse(List<String> values) {
    RetryAfter longest = values.isEmpty() ? new None() : new Unreadable();
    for (String value : values) {
      if (parse(value) instanceof Millis read
          && (!(longest instanceof Millis known) || read.millis() > known.millis())) {
        longest = read;
      }
    }
    return longest;
  }

  private static RetryAfter parse(String value) {
    try {
      double seconds = Double.parseDouble(value.trim());
      if (Double.isFinite(seconds) && seconds >= 0) {
        return new Millis((long) Math.ceil(seconds * 1_000));
      }
    } catch (NumberFormatException e) {
      return new Unreadable();
    }
    return new Unreadable();
  }
}
