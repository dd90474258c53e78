package org.hornbeamusher.pacing;

import java.util.Map;
import org.hornbeamusher.ids.PartnerId;

/**
 * Permit settings of one weight store.
 *
 * @param intervalMillis minimum interval between the starts of two loads
 * @param maxConcurrentLoads maximum number of concurrent loads
 * @param permitExpiryMillis time after which a permit expires if it is not released
 * @param requestExpiryMillis time after which a permit request that is not repeated is dropped
 * @param partnerShares weight of each partner's guaranteed share of the permits
 */
public record PermitSettings(
    long intervalMillis,
    int maxConcurrentLoads,
    long permitExpiryMillis,
    long requestExpiryMillis,
    Map<PartnerId, Integer> partnerShares) {

  /** Copies the map. */
  public PermitSettings {
    partnerShares = Map.copyOf(partnerShares);
  }

  /**
   * Returns the settings of the current weight store: two loads a second, one at a time at full
   * speed. A permit expires after six times the duration of a load at full speed, so a crashed
   * agent costs at most six permits. Agents repeat their request every second, so three in a row
   * are lost before a request is dropped.
   *
   * @param partnerShares weight of each partner's guaranteed share of the permits
   * @return the settings
   */
  public static PermitSettings of(Map<PartnerId, Integer> partnerShares) {
    return new PermitSettings(500, 1, 3_000, 3_500, partnerShares);
  }
}
