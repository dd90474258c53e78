package org.hornbeamusher.admission;

import java.util.Map;
import org.hornbeamusher.ids.PartnerId;

/**
 * Admission settings of one pool at one entry.
 *
 * @param inFlightLimit number of requests in flight above which shares are enforced: the batch
 *     slots of the pool, times one plus the useful queue length per slot, divided by the number of
 *     entries
 * @param overshoot fraction of {@code inFlightLimit} that those below their share may use on top
 * @param borrowableFraction fraction of {@code inFlightLimit} up to which those above their share
 *     are admitted
 * @param idleTimeoutMillis how long a partner, service or caller counts as active after its last
 *     request
 * @param enforceDeadlines whether requests that cannot finish in time are refused
 * @param enforceShares whether shares are enforced
 * @param partnerShares weight of each partner's guaranteed share; 1 for a partner not listed
 */
public record AdmissionSettings(
    long inFlightLimit,
    double overshoot,
    double borrowableFraction,
    long idleTimeoutMillis,
    boolean enforceDeadlines,
    boolean enforceShares,
    Map<PartnerId, Integer> partnerShares) {

  /** Default fraction of the limit that those below their share may use on top. */
  public static final double DEFAULT_OVERSHOOT = 1.0;

  /**
   * Default fraction of the limit up to which every request is admitted: the batch slots without
   * the queue. Idle slots are lent to the other partner, queue space is not. When queue space was
   * lent as well, the time to first token while another partner flooded the pool was 7.1 s instead
   * of 2.8 s.
   */
  public static final double DEFAULT_BORROWABLE_FRACTION = 0.5;

  /**
   * Default time for which a partner, service or caller counts as active after its last request.
   */
  public static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 10_000;

  /**
   * Queued requests for each batch slot. With 0.5, endpoints with less popular adapters run empty
   * between requests: at an offered load of twice the capacity 93 % of the possible requests were
   * answered, with 1 98 %. A greater value only makes the wait longer.
   */
  private static final double QUEUED_PER_SLOT = 1;

  /** Copies the map. */
  public AdmissionSettings {
    partnerShares = Map.copyOf(partnerShares);
  }

  /**
   * Returns the in-flight limit of a pool at one entry.
   *
   * @param batchSlots total number of batch slots of the pool's endpoints
   * @param entries number of entries that share the traffic
   * @return number of requests in flight above which shares are enforced
   */
  public static long limit(int batchSlots, int entries) {
    return Math.max(1, Math.round(batchSlots * (1 + QUEUED_PER_SLOT) / Math.max(1, entries)));
  }

  /**
   * Returns settings with default values, deadlines and shares enforced.
   *
   * @param inFlightLimit number of requests in flight above which shares are enforced
   * @param partnerShares weight of each partner's guaranteed share
   * @return the settings
   */
  public static AdmissionSettings of(long inFlightLimit, Map<PartnerId, Integer> partnerShares) {
    return new AdmissionSettings(
        inFlightLimit,
        DEFAULT_OVERSHOOT,
        DEFAULT_BORROWABLE_FRACTION,
        DEFAULT_IDLE_TIMEOUT_MILLIS,
        true,
        true,
        partnerShares);
  }
}
