package org.hornbeamusher.pacing;

import java.util.Collection;
import java.util.Optional;
import org.hornbeamusher.ids.EndpointId;

/**
 * Decides from which holder an agent requests its load permits, and when it paces itself instead.
 *
 * <p>If the holder crashes, or its connection stops responding, while the list of live agents still
 * names it, further requests to it would stop this agent's loads until the list is updated. So once
 * the holder has been unreachable for {@value #UNREACHABLE_GRACE_MILLIS} ms the agent paces itself,
 * and returns to the holder as soon as it is reachable. The delay keeps all agents from pacing
 * themselves at once while a connection is merely being reopened. Returning at once is safe, since
 * frequent switching costs no more than an extra or a missing load.
 */
public final class PermitSourceChoice {

  private static final long UNREACHABLE_GRACE_MILLIS = 1_500;
  private static final long NEVER = Long.MIN_VALUE;

  private final EndpointId self;
  private final String store;
  private long unreachableSince = NEVER;

  /**
   * Creates an instance for one agent.
   *
   * @param self the agent
   * @param store the weight store it loads from
   */
  public PermitSourceChoice(EndpointId self, String store) {
    this.self = self;
    this.store = store;
  }

  /**
   * Decides where the agent gets its permits now.
   *
   * @param live the agents of the store that are live as far as known, including this one
   * @param reachable the agents to which there is a working connection
   * @param now milliseconds
   * @return the permit source
   */
  public PermitSource choose(
      Collection<EndpointId> live, Collection<EndpointId> reachable, long now) {
    Optional<EndpointId> holder = PermitHolderChoice.holder(store, live);
    if (holder.isEmpty() || holder.get().equals(self)) {
      unreachableSince = NEVER;
      return new PermitSource.OwnAllocator();
    }
    if (reachable.contains(holder.get())) {
      unreachableSince = NEVER;
      return new PermitSource.RemoteHolder(holder.get());
    }
    if (unreachableSince == NEVER || now < unreachableSince) {
      unreachableSince = now;
    }
    return now - unreachableSince < UNREACHABLE_GRACE_MILLIS
        ? new PermitSource.RemoteHolder(holder.get())
        : new PermitSource.SelfPaced();
  }
}
