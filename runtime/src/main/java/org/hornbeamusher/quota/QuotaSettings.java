package org.hornbeamusher.quota;

/**
 * How entries share the quotas of client accounts.
 *
 * @param reportMillis how often an entry reports its usage while nothing is urgent
 * @param perEntryMillis is added to that for each entry, so that the reports of many entries do not
 *     outgrow their relays
 * @param urgentMillis how soon usage is reported of an account that is near its limit
 * @param silentReports intervals without a report after which an entry counts as unreachable
 * @param assumedEntries how many entries share a quota as long as no relay has said it
 * @param shareFactor how many times its even share of a burst an entry may take between two updates
 *     of what the others use
 */
public record QuotaSettings(
    long reportMillis,
    long perEntryMillis,
    long urgentMillis,
    double silentReports,
    int assumedEntries,
    double shareFactor) {

  /** What entries and agents use. */
  public static final QuotaSettings DEFAULT = new QuotaSettings(100, 2, 20, 2, 20, 4);

  /**
   * Returns the longest time between two reports of an entry.
   *
   * @param entries how many entries there are
   * @return milliseconds
   */
  public long intervalMillis(int entries) {
    return reportMillis + perEntryMillis * entries;
  }

  /**
   * Returns after how long without a report an entry, or a relay, counts as unreachable.
   *
   * @param entries how many entries there are
   * @return milliseconds
   */
  public long silentMillis(int entries) {
    return Math.round(intervalMillis(entries) * silentReports);
  }
}
