package org.hornbeamusher.pacing;

import org.hornbeamusher.ids.EndpointId;

/** Whom an agent asks for its turns. */
public sealed interface PermitSource {

  /** This agent holds the permits and asks its own ledger. */
  record OwnLedger() implements PermitSource {}

  /**
   * Another agent holds them.
   *
   * @param holder which one
   */
  record Holder(EndpointId holder) implements PermitSource {}

  /** The holder is out of reach; this agent paces itself. */
  record Local() implements PermitSource {}
}
