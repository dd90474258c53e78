package org.hornbeamusher.scheduling;

import java.util.Optional;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.PartnerId;

/** What the agent's shell does next. */
public sealed interface AgentAction {

  /**
   * Start a request on the endpoint; its adapter is resident and pinned.
   *
   * @param ticket the request
   * @param loadStallMillis how long it waited for a load
   */
  record Start(long ticket, long loadStallMillis) implements AgentAction {}

  /**
   * Refuse a request that was not started.
   *
   * @param ticket the request
   * @param type why
   * @param retryAfterMillis when the caller may come back
   */
  record Refuse(long ticket, FailureType type, long retryAfterMillis) implements AgentAction {}

  /**
   * Order the endpoint to load an adapter, after evicting another one.
   *
   * @param adapter what to load
   * @param evict what to unload first; never pinned
   */
  record Load(AdapterRef adapter, Optional<AdapterRef> evict) implements AgentAction {}

  /**
   * Ask the weight store's permit holder for a turn, or change the stated demand.
   *
   * @param partner whose requests wait
   * @param demand weighted waiting demand of the most wanted adapter; 0 withdraws the ask and gives
   *     back a turn
   */
  record AskPermit(PartnerId partner, double demand) implements AgentAction {}
}
