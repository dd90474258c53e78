package org.hornbeamusher.quarantine;

/**
 * Figures of the quarantine.
 *
 * @param crashLimit crashes at which a fingerprint is refused
 * @param suspectMillis how long a fingerprint below the limit is remembered after its last crash
 * @param quarantineMillis how long one at the limit is remembered
 * @param capacity most fingerprints remembered; the one whose crash is oldest goes first
 */
public record QuarantineSettings(
    int crashLimit, long suspectMillis, long quarantineMillis, int capacity) {

  private static final long DAY_MILLIS = 24L * 60 * 60 * 1_000;

  /**
   * Two crashes; a day for suspects, 90 days for the quarantined; 10,000 fingerprints, which is
   * more than batches of 8 at 19 failing instances a day leave behind in 60 days.
   */
  public static final QuarantineSettings DEFAULT =
      new QuarantineSettings(2, DAY_MILLIS, 90 * DAY_MILLIS, 10_000);
}
