package org.hornbeamusher.quarantine;

/**
 * Limits of the quarantine.
 *
 * @param crashLimit number of crashes from which a fingerprint is refused
 * @param suspectMillis how long a fingerprint below the limit is remembered after its last crash
 * @param quarantineMillis how long a fingerprint at the limit is remembered after its last crash
 * @param capacity maximum number of remembered fingerprints; the one with the oldest last crash is
 *     evicted first
 */
public record QuarantineSettings(
    int crashLimit, long suspectMillis, long quarantineMillis, int capacity) {

  private static final long DAY_MILLIS = 24L * 60 * 60 * 1_000;

  /**
   * Default limits: two crashes; one day for suspects, 90 days for quarantined requests; 10,000
   * fingerprints, which is more than the 9,120 that 19 instance failures per day with batches of 8
   * requests leave behind in 60 days.
   */
  public static final QuarantineSettings DEFAULT =
      new QuarantineSettings(2, DAY_MILLIS, 90 * DAY_MILLIS, 10_000);

  /**
   * Limits for {@link CrashHistory}: three crashes, because requests that ran beside the cause may
   * meet a second crash; the same times and number of contents as by default.
   */
  public static final QuarantineSettings WITHOUT_ISOLATION =
      new QuarantineSettings(
          3, DEFAULT.suspectMillis(), DEFAULT.quarantineMillis(), DEFAULT.capacity());
}
