package org.hornbeamusher.pacing;

import org.hornbeamusher.ids.EndpointId;

/** What a permit holder does next. */
public sealed interface PermitDecision {

  /**
   * An agent may load one adapter now.
   *
   * @param agent which one
   * @param grant tells this turn from earlier ones of the same agent
   * @param expiresMillis when the turn ends though nothing is heard
   */
  record Grant(EndpointId agent, long grant, long expiresMillis) implements PermitDecision {}

  /**
   * Nobody may load now.
   *
   * @param untilMillis when to look again though nothing happened; {@link Long#MAX_VALUE} when only
   *     an ask can change it
   */
  record Hold(long untilMillis) implements PermitDecision {}
}
