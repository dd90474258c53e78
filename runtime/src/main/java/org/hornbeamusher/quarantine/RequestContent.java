package org.hornbeamusher.quarantine;

import java.util.HexFormat;
import java.util.Optional;

/**
 * Identifies what a request makes an endpoint do. A caller that sends the same request again gives
 * it a new id, but its content stays the same.
 *
 * @param fingerprint hash of the content, see {@link RequestFingerprint}
 * @param bodyBytes length of its body, which excludes most other requests without hashing them
 */
public record RequestContent(long fingerprint, int bodyBytes) implements CrashSuspect {

  private static final char SEPARATOR = '-';

  /**
   * Parses the form that {@link #toString} returns.
   *
   * @param text for example {@code 00c3f29a417be8d5-692}
   * @return the content; empty if the text has another form
   */
  public static Optional<RequestContent> parse(String text) {
    int separator = text.indexOf(SEPARATOR);
    if (separator < 0) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new RequestContent(
              HexFormat.fromHexDigitsToLong(text, 0, separator),
              Integer.parseInt(text, separator + 1, text.length(), 10)));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  @Override
  public String toString() {
    return HexFormat.of().toHexDigits(fingerprint) + SEPARATOR + bodyBytes;
  }
}
