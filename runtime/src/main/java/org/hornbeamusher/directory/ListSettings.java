package org.hornbeamusher.directory;

/**
 * How the list of endpoints is read, and what is known of those who write it.
 *
 * @param pauseMillis between two reads
 * @param renewalMillis how often an endpoint renews its entry; an entry lapses after three of these
 * @param contactMillis after how long an entry that reaches the store again must act on the list
 */
public record ListSettings(long pauseMillis, long renewalMillis, long contactMillis) {

  /**
   * The last renewal is at most one renewal old when a gap begins, so two are left. Half of one is
   * for endpoints that renew unevenly and for the answer's way.
   */
  private static final double LAPSE_RENEWALS = 1.5;

  private static final double LATE_READS = 1.5;

  /** A list's own way, and a loop that is busy for a while. */
  private static final long READ_MILLIS = 50;

  /** What is placed before the end of the contact time must also arrive before it. */
  private static final double ACT_SHARE = 0.92;

  /** Returns the shortest gap between two lists in which an entry can lapse. */
  long lapseMillis() {
    long late = Math.round(LATE_READS * pauseMillis) + READ_MILLIS;
    return Math.max(late, Math.round(LAPSE_RENEWALS * renewalMillis));
  }

  /**
   * Returns how long after the earliest possible return of the store missing endpoints are kept.
   */
  long graceMillis() {
    return Math.round(contactMillis * ACT_SHARE);
  }
}
