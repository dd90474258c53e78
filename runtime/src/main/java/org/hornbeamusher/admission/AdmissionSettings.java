package org.hornbeamusher.admission;

import java.util.Map;
import org.hornbeamusher.ids.PartnerId;

/**
 * Figures of admission for one pool at one entry.
 *
 * @param inFlightLimit requests in flight above which shares are enforced: the places in the pool's
 *     batches, times one plus the queue that is worth having, divided by the number of entries
 * @param overshoot part of {@code inFlightLimit} that those below their share may use on top
 * @param lentPart part of {@code inFlightLimit} up to which those beyond their share are let in
 * @param memoryMillis how long a holder counts as active after its last request
 * @param deadlines whether requests that cannot finish in time are refused
 * @param shares whether shares are enforced
 * @param partnerShares each partner's guaranteed part; a partner not named has 1
 */
public record AdmissionSettings(
    long inFlightLimit,
    double overshoot,
    double lentPart,
    long memoryMillis,
    boolean deadlines,
    boolean shares,
    Map<PartnerId, Integer> partnerShares) {

  /** Part of the limit that those below their share may use on top, unless set otherwise. */
  public static final double DEFAULT_OVERSHOOT = 1.0;

  /**
   * Part of the limit up to which anyone is let in, unless set otherwise: the places of the batches
   * without the queue. Idle places are lent to the other partner, the queue is not. With the queue
   * lent as well, the first token under another partner's flood came after 7.1 s instead of 2.8 s.
   */
  public static final double DEFAULT_LENT_PART = 0.5;

  /** How long a holder counts as active after its last request, unless set otherwise. */
  public static final long DEFAULT_MEMORY_MILLIS = 10_000;

  /**
   * Requests that may wait for each place in a batch. With half of one, endpoints whose adapters
   * are asked for less run empty between requests: at twice the capacity 93 % of what was possible
   * was answered, with one 98 %. More only makes the wait longer.
   */
  private static final double QUEUED_PER_PLACE = 1;

  /** Copies the map. */
  public AdmissionSettings {
    partnerShares = Map.copyOf(partnerShares);
  }

  /**
   * Returns the limit of a pool at one entry.
   *
   * @param places requests that the pool's endpoints run at once
   * @param entries entries that share the traffic
   * @return requests in flight above which shares are enforced
   */
  public static long limit(int places, int entries) {
    return Math.max(1, Math.round(places * (1 + QUEUED_PER_PLACE) / Math.max(1, entries)));
  }

  /**
   * Returns settings with every mechanism on.
   *
   * @param inFlightLimit requests in flight above which shares are enforced
   * @param partnerShares each partner's guaranteed part
   * @return the settings
   */
  public static AdmissionSettings of(long inFlightLimit, Map<PartnerId, Integer> partnerShares) {
    return new AdmissionSettings(
        inFlightLimit,
        DEFAULT_OVERSHOOT,
        DEFAULT_LENT_PART,
        DEFAULT_MEMORY_MILLIS,
        true,
        true,
        partnerShares);
  }
}
