package org.hornbeamusher.routes;

import java.util.OptionalLong;

/**
 * The times within which changes of the configuration must take effect.
 *
 * @param applyMillis time until a change must be applied by an entry that can reach the table
 *     service
 * @param revokeMillis time until a revoked key must be rejected by every entry, whether it can
 *     reach the table service or not; empty if an entry without a connection may continue with the
 *     configuration that it has
 */
public record RevocationBounds(long applyMillis, OptionalLong revokeMillis) {

  /** Allows for steps of the two clocks and for the time from a request's arrival to its check. */
  private static final long MARGIN_MILLIS = 200;

  /** The load balancer probes once per second and takes an entry out after two failed probes. */
  private static final long LOAD_BALANCER_REACTION_MILLIS = 2_000;

  /**
   * Returns the maximum age of the proof with which requests that need a key may be served.
   *
   * @return milliseconds; {@link Long#MAX_VALUE} if any age will do
   */
  public long maxProofAgeMillis() {
    return revokeMillis.isPresent()
        ? Math.max(0, revokeMillis.getAsLong() - MARGIN_MILLIS)
        : Long.MAX_VALUE;
  }

  /**
   * Returns the age of the proof from which an entry that cannot renew it reports that it is not
   * ready, so that the load balancer has taken it out when the maximum age is reached.
   *
   * @return milliseconds; {@link Long#MAX_VALUE} for never
   */
  public long unreadyAgeMillis() {
    return revokeMillis.isPresent()
        ? Math.max(0, maxProofAgeMillis() - LOAD_BALANCER_REACTION_MILLIS)
        : Long.MAX_VALUE;
  }
}
