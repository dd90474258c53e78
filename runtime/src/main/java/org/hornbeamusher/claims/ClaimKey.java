package org.hornbeamusher.claims;

import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;
import org.hornbeamusher.ids.IdempotencyKey;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.table.RowKey;

/**
 * An idempotency key that contains its creation time: a UUID of version 7 (RFC 9562).
 *
 * <p>Claim rows cannot be kept for ever, and a key whose row was deleted looks like a new one. A
 * key that contains its creation time can be refused once it is older than the retention of the
 * rows. So only such keys are accepted: with any other key a retry after the retention would run
 * the request again.
 *
 * @param value the UUID in lower case
 * @param createdMillis creation time by the caller's clock, in milliseconds
 */
public record ClaimKey(String value, long createdMillis) {

  static final String TABLE = "claims";

  private static final Pattern VERSION_7 =
      Pattern.compile("[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}");
  private static final int HIGH_DIGIT_COUNT = 8;
  private static final int LOW_DIGITS_END = 13;
  private static final int HEX_RADIX = 16;

  /**
   * Parses a caller's key.
   *
   * @param key any idempotency key
   * @return the key with its creation time, or empty when it is not a UUID of version 7
   */
  public static Optional<ClaimKey> of(IdempotencyKey key) {
    String value = key.value().toLowerCase(Locale.ROOT);
    if (!VERSION_7.matcher(value).matches()) {
      return Optional.empty();
    }
    String digits =
        value.substring(0, HIGH_DIGIT_COUNT)
            + value.substring(HIGH_DIGIT_COUNT + 1, LOW_DIGITS_END);
    return Optional.of(new ClaimKey(value, Long.parseLong(digits, HEX_RADIX)));
  }

  /**
   * Creates a key from a time and 74 random bits.
   *
   * @param millis creation time in milliseconds
   * @param random random bits, of which the lowest 26 are used
   * @param moreRandom random bits, of which the lowest 48 are used
   * @return a UUID of version 7
   */
  public static IdempotencyKey make(long millis, long random, long moreRandom) {
    return new IdempotencyKey(
        String.format(
            "%08x-%04x-7%03x-%04x-%012x",
            millis >>> 16,
            millis & 0xffff,
            random & 0xfff,
            0x8000 | ((random >>> 12) & 0x3fff),
            moreRandom & 0xffff_ffff_ffffL));
  }

  /**
   * Returns the key of the claim's row. It begins with the creation time, so that a scan of the
   * table returns the oldest claims first.
   */
  RowKey rowKey(ServiceName service) {
    return new RowKey(TABLE, value + "/" + service);
  }
}
