package org.hornbeamusher.scheduling;

import java.util.Optional;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.PartnerId;

/** An action that the scheduler tells its agent to carry out. */
public sealed interface AgentAction {

  /**
   * Starts a request on the endpoint; its adapter is resident and pinned.
   *
   * @param ticket the request
   * @param loadStallMillis how long the request waited for its adapter to be loaded
   */
  record Start(long ticket, long loadStallMillis) implements AgentAction {}

  /**
   * Refuses a request that was not started.
   *
   * @param ticket the request
   * @param type the reason
   * @param retryAfterMillis after how long the caller may retry
   */
  record Refuse(long ticket, FailureType type, long retryAfterMillis) implements AgentAction {}

  /**
   * Tells the endpoint to load an adapter, after evicting another one if all slots are taken.
   *
   * @param adapter the adapter to load
   * @param evict the adapter to unload first; never pinned
   */
  record Load(AdapterRef adapter, Optional<AdapterRef> evict) implements AgentAction {}

  /**
   * Requests a load permit from the permit holder of the weight store, or updates the demand of an
   * earlier request.
   *
   * @param partner the partner whose requests wait for the load
   * @param demand weighted waiting demand of the adapter with the highest demand; 0 withdraws the
   *     request and returns a permit that was granted
   */
  record RequestPermit(PartnerId partner, double demand) implements AgentAction {}
}
