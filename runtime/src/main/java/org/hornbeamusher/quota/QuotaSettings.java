package org.hornbeamusher.quota;

/**
 * How entries share the quotas of client accounts.
 *
 * @param reportIntervalMillis base interval between usage reports of an entry while none is urgent
 * @param intervalPerEntryMillis added to that interval for each entry, so that the reports of many
 *     entries do not overload the relays
 * @param urgentMillis delay of a report when an account is near its limit
 * @param unreachableAfterIntervals number of report intervals without a report after which an
 *     entry, or a relay, counts as unreachable
 * @param assumedEntries number of entries that are assumed to share a quota until a relay has
 *     reported one
 * @param burstShareFactor multiple of its even share of a burst that an entry may charge between
 *     two updates of the usage of the others
 */
public record QuotaSettings(
    long reportIntervalMillis,
    long intervalPerEntryMillis,
    long urgentMillis,
    double unreachableAfterIntervals,
    int assumedEntries,
    double burstShareFactor) {

  private static final int STALE_FACTOR = 2;

  /** The settings of entries and agents. */
  public static final QuotaSettings DEFAULT = new QuotaSettings(100, 2, 20, 2, 20, 4);

  /**
   * Returns the maximum interval between two reports of an entry.
   *
   * @param entries the number of entries
   * @return milliseconds
   */
  public long intervalMillis(int entries) {
    return reportIntervalMillis + intervalPerEntryMillis * entries;
  }

  /**
   * Returns the age from which an update is too old to decide by, also if others arrive regularly:
   * it has waited somewhere. The round trip of a report and an update takes two intervals at most.
   *
   * @param entries the number of entries
   * @return milliseconds since the entry sent the report that the update answers
   */
  public long staleAfterMillis(int entries) {
    return STALE_FACTOR * unreachableAfterMillis(entries);
  }

  /**
   * Returns the time without a report after which an entry, or a relay, counts as unreachable.
   *
   * @param entries the number of entries
   * @return milliseconds
   */
  public long unreachableAfterMillis(int entries) {
    return Math.round(intervalMillis(entries) * unreachableAfterIntervals);
  }
}
