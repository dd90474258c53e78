package org.hornbeamusher.availability;

import java.util.List;

/** What an endpoint's refusal says of when it takes requests of this process again. */
public sealed interface StatedRetryAfter {

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
