package org.hornbeamusher.pacing;

import java.util.Collection;
import java.util.Optional;
import org.hornbeamusher.ids.EndpointId;

/**
 * Decides whom an agent asks for its turns, and when it goes by itself.
 *
 * <p>Failure pattern: the holder crashes, or its connection goes silent, while the list of live
 * agents still names it. Asking on would stop this agent's loads until the list catches up. So once
 * the holder has been out of reach for {@value #PATIENCE_MILLIS} ms the agent paces itself, and
 * goes back to the holder as soon as it is reached. The wait keeps a connection that is merely
 * being reopened from setting all agents loose at once; going back at once is safe, since the only
 * harm of switching often is a load more or less.
 */
public final class PermitSourceChoice {

  private static final long PATIENCE_MILLIS = 1_500;
  private static final long NEVER = Long.MIN_VALUE;

  private final EndpointId self;
  private final String store;
  private long unreachableSince = NEVER;

  /**
   * Creates the choice of one agent.
   *
   * @param self the agent
   * @param store the weight store it loads from
   */
  public PermitSourceChoice(EndpointId self, String store) {
    this.self = self;
    this.store = store;
  }

  /**
   * Decides.
   *
   * @param live the agents of the store that are live as far as known, this one among them
   * @param reachable those that a working connection leads to
   * @param now milliseconds
   * @return whom to ask
   */
  public PermitSource choose(
      Collection<EndpointId> live, Collection<EndpointId> reachable, long now) {
    Optional<EndpointId> holder = PermitHolderChoice.holder(store, live);
    if (holder.isEmpty() || holder.get().equals(self)) {
      unreachableSince = NEVER;
      return new PermitSource.OwnLedger();
    }
    if (reachable.contains(holder.get())) {
      unreachableSince = NEVER;
      return new PermitSource.Holder(holder.get());
    }
    if (unreachableSince == NEVER || now < unreachableSince) {
      unreachableSince = now;
    }
    return now - unreachableSince < PATIENCE_MILLIS
        ? new PermitSource.Holder(holder.get())
        : new PermitSource.Local();
  }
}
