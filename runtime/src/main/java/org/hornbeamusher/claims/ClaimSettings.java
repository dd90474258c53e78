package org.hornbeamusher.claims;

/**
 * How long claims matter.
 *
 * @param retentionMillis a key older than this is refused
 * @param clockSkewMillis how far the clocks of callers and entries may differ; rows are kept this
 *     much longer than the retention, and a key from further in the future is refused
 * @param graceMillis how long after its expiry a claim still reads as in progress: the time an
 *     entry needs to settle an attempt and to write the end
 */
public record ClaimSettings(long retentionMillis, long clockSkewMillis, long graceMillis) {

  /**
   * Three days: a caller that failed on a Friday evening, with nobody watching, is repaired and
   * sends again on Monday morning.
   */
  public static final ClaimSettings STANDARD =
      new ClaimSettings(72 * 3_600_000L, 3_600_000L, 10_000);

  boolean expired(ClaimKey key, long now) {
    return now - key.madeMillis() > retentionMillis;
  }

  boolean fromTheFuture(ClaimKey key, long now) {
    return key.madeMillis() - now > clockSkewMillis;
  }

  /** The time before which every key is refused by every entry, whatever its clock says. */
  long removableBefore(long now) {
    return now - retentionMillis - 2 * clockSkewMillis;
  }
}
