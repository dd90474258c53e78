package org.hornbeamusher.pacing;

import org.hornbeamusher.ids.EndpointId;

/** Where an agent gets its load permits. */
public sealed interface PermitSource {

  /** This agent is the permit holder and uses its own {@link PermitAllocator}. */
  record OwnAllocator() implements PermitSource {}

  /**
   * Another agent is the permit holder.
   *
   * @param holder that agent
   */
  record RemoteHolder(EndpointId holder) implements PermitSource {}

  /** The holder is unreachable; this agent paces itself by {@link LocalPacer}. */
  record SelfPaced() implements PermitSource {}
}
