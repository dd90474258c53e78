package org.hornbeamusher.routes;

import java.util.OptionalLong;

/**
 * How soon a change of the configuration must hold.
 *
 * @param applyMillis until a change must be in force at an entry that reaches the table service
 * @param revokeMillis until a key that was taken away must be of no use at any entry, whatever it
 *     reaches; empty where entries that reach nothing may go on with what they know
 */
public record RevocationBounds(long applyMillis, OptionalLong revokeMillis) {

  /** Covers the steps of two clocks and the way of a request to its check. */
  private static final long MARGIN_MILLIS = 200;

  /** The balancer asks once a second and needs two refusals to leave an entry out. */
  private static final long LEAVE_MILLIS = 2_000;

  /**
   * Returns the oldest proof with which keyed requests may be served.
   *
   * @return milliseconds; {@link Long#MAX_VALUE} for any
   */
  public long servedMillis() {
    return revokeMillis.isPresent()
        ? Math.max(0, revokeMillis.getAsLong() - MARGIN_MILLIS)
        : Long.MAX_VALUE;
  }

  /**
   * Returns the age of the proof from which an entry that fails to renew it sends callers away.
   *
   * @return milliseconds; {@link Long#MAX_VALUE} for never
   */
  public long leaveMillis() {
    return revokeMillis.isPresent() ? Math.max(0, servedMillis() - LEAVE_MILLIS) : Long.MAX_VALUE;
  }
}
