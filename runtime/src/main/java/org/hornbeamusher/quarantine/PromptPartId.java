package org.hornbeamusher.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Identifies a part of a prompt, whatever else the prompt contains and whoever sends it.
 *
 * @param value the id in lower case, or a hash of one that is too long for the key of a row
 */
public record PromptPartId(String value) implements CrashSuspect {

  private static final String PREFIX = "part-";
  private static final int MAX_LENGTH = 100;

  /**
   * Creates the id of a part that a caller named.
   *
   * @param name the caller's id of the part, a hexadecimal number of any case
   * @return its id
   */
  public static PromptPartId of(String name) {
    if (name.length() <= MAX_LENGTH) {
      return new PromptPartId(name.toLowerCase(Locale.ROOT));
    }
    byte[] bytes = name.toLowerCase(Locale.ROOT).getBytes(StandardCharsets.UTF_8);
    long hash = RequestFingerprint.of("", "", bytes, Map.of());
    return new PromptPartId("hash-" + HexFormat.of().toHexDigits(hash));
  }

  /**
   * Parses the form that {@link #toString} returns.
   *
   * @param text for example {@code part-91bd3f06}
   * @return the id; empty if the text has another form
   */
  public static Optional<PromptPartId> parse(String text) {
    return text.startsWith(PREFIX) && text.length() > PREFIX.length()
        ? Optional.of(new PromptPartId(text.substring(PREFIX.length())))
        : Optional.empty();
  }

  @Override
  public String toString() {
    return PREFIX + value;
  }
}
