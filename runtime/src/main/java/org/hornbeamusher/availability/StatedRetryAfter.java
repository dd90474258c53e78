package org.hornbeamusher.availability;

import java.util.List;

/** What an endpoint's refusal says of when it takes requests of this process again. */
public sealed interface StatedRetryAfter {

  /** The name of the field by which a refusal states the time. */
  String FIELD = "retry-after";

  /** The status of a refusal that concerns the endpoint. */
  int UNAVAILABLE = 503;

  /** The status of a refusal that concerns the caller. */
  int TOO_MANY = 429;

  /**
   * The endpoint takes none for this long.
   *
   * @param millis at least 0
   */
  record Millis(long millis) implements StatedRetryAfter {}

  /** The answer states no time. */
  record None() implements StatedRetryAfter {}

  /** The answer states a time that cannot be read; it changes nothing. */
  record Unreadable() implements StatedRetryAfter {}

  /**
   * Reads what an answer states. Only a refusal can: elsewhere the field means something else (RFC
   * 9110, section 10.2.3).
   *
   * @param status the answer's
   * @param values of its {@code Retry-After} fields
   * @return what they say
   */
  static StatedRetryAfter of(int status, List<String> values) {
    boolean refusal = status == UNAVAILABLE || status == TOO_MANY;
    return refusal ? parse(values) : new None();
  }

  /**
   * Reads the values of a {@code Retry-After} field. Of several, the longest readable one holds.
   *
   * @param values decimal numbers of seconds; empty where the answer states none
   * @return what they say
   */
  static StatedRetryAfter parse(List<String> values) {
    StatedRetryAfter longest = values.isEmpty() ? new None() : new Unreadable();
    for (String value : values) {
      if (parse(value) instanceof Millis read
          && (!(longest instanceof Millis known) || read.millis() > known.millis())) {
        longest = read;
      }
    }
    return longest;
  }

  private static StatedRetryAfter parse(String value) {
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
