package org.hornbeamusher.pacing;

import java.util.Map;
import org.hornbeamusher.ids.PartnerId;

/**
 * Figures of one weight store.
 *
 * @param gapMillis least time between the beginnings of two loads
 * @param atOnce loads that may be under way together
 * @param expiryMillis after this time a turn counts as over though nothing was heard
 * @param askMillis an ask that was not repeated for this long is forgotten
 * @param partnerShares each partner's guaranteed part of the turns
 */
public record PermitSettings(
    long gapMillis,
    int atOnce,
    long expiryMillis,
    long askMillis,
    Map<PartnerId, Integer> partnerShares) {

  /** Copies the map. */
  public PermitSettings {
    partnerShares = Map.copyOf(partnerShares);
  }

  /**
   * Returns the figures of today's weight store: two loads a second, one at a time at full speed. A
   * turn expires after six times a load at full speed, so a crashed agent costs six turns at most;
   * agents repeat their ask every second, so three are lost before one is forgotten.
   *
   * @param partnerShares each partner's guaranteed part
   * @return the figures
   */
  public static PermitSettings of(Map<PartnerId, Integer> partnerShares) {
    return new PermitSettings(500, 1, 3_000, 3_500, partnerShares);
  }
}
