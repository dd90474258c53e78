package org.hornbeamusher.claims;

/**
 * Retention and time limits of claims.
 *
 * @param retentionMillis maximum age of a key; an older one is refused
 * @param clockSkewMillis maximum difference between the clocks of callers and entries; rows are
 *     kept for twice this time beyond the retention, and a key created further in the future is
 *     refused
 * @param graceMillis how long after its expiry a claim still reads as in progress: the time an
 *     entry needs to determine the outcome of an attempt and to write it
 */
public record ClaimSettings(long retentionMillis, long clockSkewMillis, long graceMillis) {

  /**
   * Default settings. The retention is three days, so that a caller that fails unattended on a
   * Friday evening and is repaired on Monday morning can still retry.
   */
  public static final ClaimSettings DEFAULT =
      new ClaimSettings(72 * 3_600_000L, 3_600_000L, 10_000);

  boolean isExpired(ClaimKey key, long now) {
    return now - key.createdMillis() > retentionMillis;
  }

  boolean isFromFuture(ClaimKey key, long now) {
    return key.createdMillis() - now > clockSkewMillis;
  }

  /**
   * Returns the creation time before which every entry refuses a key, whatever its clock skew. The
   * skew counts twice: once for the clock of this entry, once for that of another.
   */
  long removableBefore(long now) {
    return now - retentionMillis - 2 * clockSkewMillis;
  }
}
