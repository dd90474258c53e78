package org.hornbeamusher.pacing;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.routing.Rendezvous;

/**
 * Finds the agent that holds the permits of a weight store.
 *
 * <p>Every agent ranks the live agents of the store by a hash of store and agent together and takes
 * the first, so agents that know the same list agree without talking, and only the loss of the
 * first one moves the duty. The list lags, so for some seconds two agents may be taken for the
 * holder; each paces its own askers and the store sees up to twice the rate. That costs speed only.
 */
public final class PermitHolderChoice {

  private PermitHolderChoice() {}

  /**
   * Finds the holder.
   *
   * @param store the weight store's name
   * @param live the agents that load from it and are not leaving
   * @return the holder, or empty when no agent is live
   */
  public static Optional<EndpointId> holder(String store, Collection<EndpointId> live) {
    long key = Rendezvous.hash(store);
    Comparator<EndpointId> byWeight =
        (one, other) -> Long.compareUnsigned(weight(key, one), weight(key, other));
    return live.stream().max(byWeight.thenComparing(Comparator.naturalOrder()));
  }

  private static long weight(long key, EndpointId agent) {
    return Rendezvous.weight(key, Rendezvous.hash(agent.value()));
  }
}
