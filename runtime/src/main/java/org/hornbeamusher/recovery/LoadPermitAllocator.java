package org.hornbeamusher.recovery;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Allocates the permits for loads from the weight store over all engines. Runs in the entry that
 * the agents have chosen as their coordinator. Confined to one thread.
 *
 * <p>While few loads are in progress, agents load without permits. When as many are in progress or
 * wanted as the store serves at full speed, loads are <em>paced</em>: each needs a permit. It goes
 * to the agent with the greatest demand, the number of requests for its next adapter that can still
 * meet their target time. Loads for such requests begin up to {@value #ON_TIME_PERCENT} % of the
 * limit, because a somewhat slower load is sooner than one that waits; loads for late requests
 * begin below the limit only. One permit in {@value #LONGEST_WAIT_INTERVAL} goes to the agent that
 * has waited longest, so that late requests and adapters in low demand are served as well. Pacing
 * ends when the loads in progress and wanted have stayed below {@value #FEW_LOADS_PERCENT} % of the
 * limit for {@value #UNPACED_AFTER_MILLIS} ms.
 *
 * <p><b>Load.</b> All engines have lost power and are empty; within a second callers ask for three
 * hundred adapters. The store serves 24 loads at full speed, in 0.29 s each; further loads share
 * its bandwidth. If 35 engines load two adapters each, none is loaded before 0.84 s, and nearly all
 * callers who wanted their first event within 0.6 s are late. With permits, the adapters that most
 * callers wait for are loaded after 0.3 to 0.45 s, at the same number of adapters per second.
 *
 * <p>Rejected: a strict limit for all loads. A request that waits for a permit is later than one
 * whose load shares the bandwidth with half as many more.
 *
 * <p>The loads in progress are those that agents report to every entry anyway, and each request and
 * response states totals. A coordinator that has just been chosen therefore knows what is in
 * progress at once, and nothing needs to be handed over but the learnt limit, which agents repeat.
 * While two coordinators are active, each counts the loads of the other's agents; only permits that
 * are in transit are missed, and cost speed.
 *
 * <p>Differs from {@link org.hornbeamusher.pacing.PermitAllocator}, which allocates the loads of a
 * store that serves one load at a time between partners: the limit is learnt, and permits are
 * needed only while the store is congested.
 *
 * @param <A> identifies an agent
 */
public final class LoadPermitAllocator<A> {

  /** Maximum number of loads that one engine accepts at once. */
  static final int MAX_LOADS_PER_ENGINE = 4;

  /** An agent does not use a permit that is older. */
  static final long PERMIT_LIFETIME_MILLIS = 250;

  /** Time after which a permit that is not reported as used has expired at the agent. */
  static final long PERMIT_EXPIRY_MILLIS = 2 * PERMIT_LIFETIME_MILLIS;

  /** A request that is not repeated within this time is dropped. */
  static final long REQUEST_EXPIRY_MILLIS = 1_000;

  /** Loads need no permits when few were in progress for this time. */
  static final long UNPACED_AFTER_MILLIS = 500;

  /**
   * Percentage of the limit below which few loads are in progress. A permit costs a round trip, for
   * which a free adapter slot is idle, so loads are not paced for longer than the store needs it.
   */
  private static final int FEW_LOADS_PERCENT = 75;

  /** One of this many permits is granted to the agent that has waited longest. */
  static final int LONGEST_WAIT_INTERVAL = 8;

  /**
   * Loads for requests that can still meet their target time begin up to this percentage of the
   * limit. Waiting for a permit would make them later than a load at two thirds of the speed.
   */
  private static final int ON_TIME_PERCENT = 150;

  private final StoreConcurrencyLimit limit = new StoreConcurrencyLimit();
  private final Map<A, Agent> agents = new HashMap<>();
  private boolean paced = true;
  private long grants;
  private boolean limitKnown;
  private long lastBusyMillis;

  /**
   * Creates an allocator without agents.
   *
   * @param now milliseconds
   */
  public LoadPermitAllocator(long now) {
    lastBusyMillis = now;
  }

  /**
   * A response that is to be sent.
   *
   * @param agent the receiver
   * @param response the response
   * @param <A> identifies an agent
   */
  public record Reply<A>(A agent, LoadPermitResponse response) {}

  /**
   * Records the loads that an engine has in progress, from whatever agent and coordinator.
   *
   * @param agent the engine's agent
   * @param loads the number of loads
   */
  public void loadsReported(A agent, int loads) {
    agents.computeIfAbsent(agent, unused -> new Agent()).loads = loads;
  }

  /**
   * Records the request of an agent that has chosen this process as its coordinator.
   *
   * @param agent the agent
   * @param request its request
   * @param now milliseconds
   */
  public void request(A agent, LoadPermitRequest request, long now) {
    if (!limitKnown && request.concurrencyLimit() > 0) {
      limit.adopt(request.concurrencyLimit());
    }
    limitKnown = true;
    if (request.loadMillis() > 0) {
      limit.loadCompleted(request.loadMillis(), loadsInProgress(now));
    }
    agents.computeIfAbsent(agent, unused -> new Agent()).requested(request, now);
  }

  /**
   * Handles an agent that has chosen another coordinator.
   *
   * @param agent the agent; its loads are still counted
   */
  public void released(A agent) {
    Optional.ofNullable(agents.get(agent)).ifPresent(known -> known.request = null);
  }

  /**
   * Returns whether this process coordinates.
   *
   * @return whether an agent has chosen it
   */
  public boolean isCoordinator() {
    return agents.values().stream().anyMatch(agent -> agent.request != null);
  }

  /**
   * Removes an agent whose connection is lost.
   *
   * @param agent the agent
   */
  public void agentLost(A agent) {
    agents.remove(agent);
  }

  /**
   * Grants what can be granted. To be called after each change, and regularly while loads are
   * paced.
   *
   * @param now milliseconds
   * @return the responses that have become due
   */
  public List<Reply<A>> poll(long now) {
    updatePacing(now);
    if (paced) {
      grant(now);
    }
    long waitMillis = waitMillis(now);
    List<Reply<A>> replies = new ArrayList<>();
    agents.forEach(
        (key, agent) -> {
          if (agent.request != null && agent.replyDue(paced)) {
            replies.add(new Reply<>(key, agent.reply(paced, waitMillis, limit.value())));
          }
        });
    return replies;
  }

  private void updatePacing(long now) {
    int busy = loadsInProgress(now) + adaptersWanted(now);
    if (busy >= limit.value()) {
      paced = true;
    }
    if (busy >= limit.value() * FEW_LOADS_PERCENT / 100) {
      lastBusyMillis = now;
    } else if (now - lastBusyMillis >= UNPACED_AFTER_MILLIS) {
      paced = false;
    }
  }

  private void grant(long now) {
    int inProgress = loadsInProgress(now);
    while (inProgress < maxLoads()) {
      Optional<Agent> next = next(inProgress < limit.value(), now);
      if (next.isEmpty()) {
        return;
      }
      next.get().grant(now);
      grants++;
      inProgress++;
    }
  }

  private Optional<Agent> next(boolean withLate, long now) {
    Comparator<Agent> longestWait = Comparator.comparingLong(agent -> -agent.waitingSinceMillis);
    Comparator<Agent> greatestDemand =
        Comparator.<Agent>comparingInt(agent -> agent.request.demand().onTimeRequests())
            .thenComparing(longestWait);
    boolean longest = (grants + 1) % LONGEST_WAIT_INTERVAL == 0;
    return agents.values().stream()
        .filter(agent -> agent.eligible(now))
        .filter(agent -> withLate || longest || agent.request.demand().onTimeRequests() > 0)
        .max(longest ? longestWait : greatestDemand);
  }

  /**
   * Returns how many loads may be in progress, including permits in transit.
   *
   * @return the limit for loads that are still in time at a lower speed
   */
  int maxLoads() {
    return limit.value() * ON_TIME_PERCENT / 100;
  }

  /**
   * Returns whether loads need permits.
   *
   * @return whether loads are paced
   */
  public boolean paced() {
    return paced;
  }

  /**
   * Returns the learnt limit.
   *
   * @return how many loads the store serves at full speed
   */
  public int concurrencyLimit() {
    return limit.value();
  }

  /**
   * Returns the loads in progress over all engines.
   *
   * @param now milliseconds
   * @return the reported loads and the permits that were not used yet
   */
  public int loadsInProgress(long now) {
    return agents.values().stream().mapToInt(agent -> agent.loads + agent.outstanding(now)).sum();
  }

  /**
   * Returns the adapters that agents wait for.
   *
   * @param now milliseconds
   * @return the sum over the agents that have requested permits
   */
  public int adaptersWanted(long now) {
    return agents.values().stream().mapToInt(agent -> agent.wanted(now)).sum();
  }

  private long waitMillis(long now) {
    return Math.round(adaptersWanted(now) * limit.uncongestedMillis() / limit.value());
  }

  /** The state of one agent. */
  private static final class Agent {

    private int loads;

    /** The last request; null for an agent that has not chosen this coordinator. */
    private LoadPermitRequest request;

    private long requestMillis;
    private long waitingSinceMillis;
    private long granted;
    private long lastGrantMillis;
    private boolean replyDue;
    private boolean repliedPaced;

    void requested(LoadPermitRequest next, long now) {
      if (request == null || request.epoch() != next.epoch()) {
        granted = next.usedPermits();
      }
      boolean waited = request != null && request.demand().adapters() > 0;
      boolean used = request != null && next.usedPermits() > request.usedPermits();
      if (!waited || used) {
        waitingSinceMillis = now;
      }
      // Permits of an earlier coordinator at the same address have expired.
      granted = Math.max(granted, next.usedPermits());
      request = next;
      requestMillis = now;
      replyDue = true;
    }

    int outstanding(long now) {
      return request == null || now - lastGrantMillis >= PERMIT_EXPIRY_MILLIS
          ? 0
          : (int) Math.max(0, granted - request.usedPermits());
    }

    int wanted(long now) {
      boolean current = request != null && now - requestMillis < REQUEST_EXPIRY_MILLIS;
      return current ? Math.max(0, request.demand().adapters() - outstanding(now)) : 0;
    }

    boolean eligible(long now) {
      return outstanding(now) == 0 && wanted(now) > 0 && loads < MAX_LOADS_PER_ENGINE;
    }

    void grant(long now) {
      granted++;
      lastGrantMillis = now;
      replyDue = true;
    }

    boolean replyDue(boolean paced) {
      return replyDue || repliedPaced != paced;
    }

    LoadPermitResponse reply(boolean paced, long waitMillis, int limit) {
      replyDue = false;
      repliedPaced = paced;
      return new LoadPermitResponse(request.epoch(), paced, granted, waitMillis, limit);
    }
  }
}
