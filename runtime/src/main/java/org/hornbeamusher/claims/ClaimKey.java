package org.hornbeamusher.claims;

import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;
import org.hornbeamusher.ids.IdempotencyKey;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.table.RowKey;

/**
 * An idempotency key that carries its time: a UUID of version 7 (RFC 9562).
 *
 * <p>A claim row cannot be kept for ever, and a key whose row was removed looks like a new one. A
 * key that tells when it was made can be refused once it is older than the rows are kept. So only
 * such keys are taken: with any other key a resend after the retention would run again.
 *
 * @param value the UUID in lower case
 * @param madeMillis when the caller made it, by the caller's clock
 */
public record ClaimKey(String value, long madeMillis) {

  static final String TABLE = "claims";

  private static final Pattern VERSION_7 =
      Pattern.compile("[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}");
  private static final int HIGH_DIGITS = 8;
  private static final int LOW_DIGITS_END = 13;
  private static final int HEXADECIMAL = 16;

  /**
   * Reads a caller's key.
   *
   * @param key any idempotency key
   * @return the key with its time, or empty when it carries none
   */
  public static Optional<ClaimKey> of(IdempotencyKey key) {
    String value = key.value().toLowerCase(Locale.ROOT);
    if (!VERSION_7.matcher(value).matches()) {
      return Optional.empty();
    }
    String digits =
        value.substring(0, HIGH_DIGITS) + value.substring(HIGH_DIGITS + 1, LOW_DIGITS_END);
    return Optional.of(new ClaimKey(value, Long.parseLong(digits, HEXADECIMAL)));
  }

  /**
   * Makes a key.
   *
   * @param millis its time
   * @param random any number; 74 of its bits are used
   * @param moreRandom any number
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

  /** The time stands first, so that a scan of the table meets the oldest claims first. */
  RowKey row(ServiceName service) {
    return new RowKey(TABLE, value + "/" + service);
  }
}
