package org.hornbeamusher.directory;

/**
 * The timing of reads and writes of the list of endpoints.
 *
 * @param pauseMillis pause between two reads
 * @param renewalMillis interval in which an endpoint renews its list entry; an entry expires after
 *     three intervals
 * @param contactMillis the time within which a process that can reach the store again must have
 *     applied the list
 */
public record EndpointListSettings(long pauseMillis, long renewalMillis, long contactMillis) {

  /**
   * Two of the three intervals remain when a gap begins, because the last renewal is at most one
   * interval old. Half an interval is a margin for jitter of the renewals and for the response
   * time.
   */
  private static final double EXPIRY_RENEWALS = 1.5;

  private static final double READ_DELAY_FACTOR = 1.5;

  /** Transfer time of a list, and delays by a busy event loop. */
  private static final long READ_MARGIN_MILLIS = 50;

  /** Leaves time for requests placed before the end of the contact time to arrive before it. */
  private static final double CONTACT_FRACTION = 0.92;

  /** Returns the shortest gap between two lists in which an entry can expire. */
  long minExpiryGapMillis() {
    long late = Math.round(READ_DELAY_FACTOR * pauseMillis) + READ_MARGIN_MILLIS;
    return Math.max(late, Math.round(EXPIRY_RENEWALS * renewalMillis));
  }

  /** Returns how long missing endpoints are kept after the earliest possible end of an outage. */
  long graceMillis() {
    return Math.round(contactMillis * CONTACT_FRACTION);
  }
}
