package org.hornbeamusher.pacing;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.routing.RendezvousHash;

/**
 * Determines the agent that holds the load permits of a weight store, by rendezvous hashing.
 *
 * <p>Every agent ranks the live agents of the store by a hash of store and agent together and takes
 * the first, so agents that know the same list agree without communication, and the holder changes
 * only when it is lost or an agent that ranks before it joins. The list may be stale, so for some
 * seconds two agents may act as holder; each paces the agents that request permits from it, and the
 * store may get up to twice the rate. That costs speed only.
 */
public final class PermitHolderChoice {

  private PermitHolderChoice() {}

  /**
   * Determines the holder.
   *
   * @param store the weight store's name
   * @param live the agents that load from it and are not leaving
   * @return the holder, or empty if no agent is live
   */
  public static Optional<EndpointId> holder(String store, Collection<EndpointId> live) {
    long key = RendezvousHash.hash(store);
    Comparator<EndpointId> byWeight =
        (one, other) -> Long.compareUnsigned(weight(key, one), weight(key, other));
    return live.stream().max(byWeight.thenComparing(Comparator.naturalOrder()));
  }

  private static long weight(long key, EndpointId agent) {
    return RendezvousHash.weight(key, RendezvousHash.hash(agent.value()));
  }
}
