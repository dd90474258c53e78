package org.hornbeamusher.pacing;

import org.hornbeamusher.ids.EndpointId;

/** The next action of a permit holder. */
public sealed interface PermitDecision {

  /**
   * Grants an agent the permit to load one adapter now.
   *
   * @param agent the agent
   * @param grantId number that distinguishes this permit from earlier ones of the same agent
   * @param expiresMillis when the permit expires if the agent does not release it
   */
  record Grant(EndpointId agent, long grantId, long expiresMillis) implements PermitDecision {}

  /**
   * No agent may load now.
   *
   * @param untilMillis when to poll again if no event occurs before; {@link Long#MAX_VALUE} if only
   *     a permit request can change the decision
   */
  record Wait(long untilMillis) implements PermitDecision {}
}
