package org.hornbeamusher.pacing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.PartnerId;

/**
 * Allocates the load permits of one weight store. Runs at the agent that is the store's permit
 * holder. Not thread-safe.
 *
 * <p>A permit is granted when fewer than {@link PermitSettings#maxConcurrentLoads} are outstanding
 * and the last one was granted at least {@link PermitSettings#intervalMillis} ago. Among the
 * partners that {@link PartnerFairShares} finds entitled, it goes to the agent with the greatest
 * demand, increased by its waiting time: {@code demand × (1 + waited / }{@value
 * #AGEING_MILLIS}{@code ms)}. An agent with little demand is thus passed over for a bounded time
 * only. An agent states the demand of the one adapter that it would load, and states it again when
 * it has doubled or halved.
 *
 * <p>Without permits, a shift in popularity or a restart of every engine would make all agents of
 * both partners load in the same second, while the store delivers about two loads a second, one at
 * a time at full speed. Concurrent loads slow each other down in proportion: with twelve agents the
 * first adapter is loaded after six seconds instead of half a second, and the adapter with the
 * highest demand no sooner than the rest.
 *
 * <p>The state is soft. When the holder is replaced, the next one starts without outstanding
 * permits and learns the demand within a second, as agents repeat their requests. Until then, or
 * while two agents each act as holder, a few loads overlap; that costs speed only, so no lease
 * guards the state, and permits work while the table is unavailable. The permit of a crashed agent
 * expires; that of an agent known to be gone ends at once ({@link #removeAgent}).
 *
 * <p>Reaction time: a new demand is served by the next permit, after at most half a second if its
 * partner is entitled. The allocation cannot oscillate, as the only state is the charges of the
 * partners and the requests.
 *
 * <p>Rejected alternatives: a static share of the rate for each agent, which leaves the store idle
 * unless all agents want loads (this is {@link LocalPacer}, used while the holder is unreachable);
 * a row in the table, which costs two writes per load and stops all loads while the table is
 * unavailable.
 */
public final class PermitAllocator {

  private static final double AGEING_MILLIS = 5_000;

  /** Maximum time for which a request and a grant may cross on a connection. */
  private static final long CROSSING_MILLIS = 300;

  private final PermitSettings settings;
  private final PartnerFairShares partnerFairShares;
  private final Map<EndpointId, Request> requests = new HashMap<>();
  private final Map<EndpointId, PermitDecision.Grant> outstanding = new HashMap<>();
  private long lastGrantMillis = Long.MIN_VALUE;
  private long nextGrantId = 1;

  private record Request(PartnerId partner, double demand, long firstMillis, long lastMillis) {

    double weight(long now) {
      return demand * (1 + Math.max(0, now - firstMillis) / AGEING_MILLIS);
    }
  }

  /**
   * Creates an allocator without outstanding permits.
   *
   * @param settings the settings of the store
   */
  public PermitAllocator(PermitSettings settings) {
    this.settings = settings;
    this.partnerFairShares = new PartnerFairShares(settings.partnerShares());
  }

  /**
   * Records the permit request of an agent. An agent requests a permit only when it has none. So a
   * permit of the agent that is still outstanding has ended or was lost in transit, unless it was
   * granted so recently that request and grant have crossed. Such a request is ignored: otherwise
   * the agent would be granted a second permit that it does not use, and the store would be idle
   * until that expires.
   *
   * @param agent the agent
   * @param partner the partner whose requests wait for the load
   * @param demand weighted waiting demand; 0 or less withdraws the request and returns a permit
   * @param now milliseconds
   */
  public void request(EndpointId agent, PartnerId partner, double demand, long now) {
    if (!(demand > 0)) {
      removeAgent(agent);
      return;
    }
    PermitDecision.Grant current = outstanding.get(agent);
    if (current != null
        && now < current.expiresMillis() - settings.permitExpiryMillis() + CROSSING_MILLIS) {
      return;
    }
    outstanding.remove(agent);
    Request before = requests.get(agent);
    long since = before == null ? now : before.firstMillis;
    requests.put(agent, new Request(partner, demand, since, now));
  }

  /**
   * Releases a permit.
   *
   * @param agent the agent that holds it
   * @param grant the number of the grant; ignored if it is not the agent's current one
   */
  public void release(EndpointId agent, long grant) {
    PermitDecision.Grant current = outstanding.get(agent);
    if (current != null && current.grantId() == grant) {
      outstanding.remove(agent);
    }
  }

  /**
   * Removes an agent that is gone, with its request and its permit.
   *
   * @param agent the agent
   */
  public void removeAgent(EndpointId agent) {
    requests.remove(agent);
    outstanding.remove(agent);
  }

  /**
   * Grants the next permit if one is due. Must be called again until it returns no grant.
   *
   * @param now milliseconds
   * @return a grant, or when to poll again
   */
  public PermitDecision poll(long now) {
    outstanding.values().removeIf(grant -> grant.expiresMillis() <= now);
    requests
        .values()
        .removeIf(request -> request.lastMillis + settings.requestExpiryMillis() <= now);
    if (requests.isEmpty()) {
      return new PermitDecision.Wait(Long.MAX_VALUE);
    }
    if (outstanding.size() >= settings.maxConcurrentLoads()) {
      return new PermitDecision.Wait(firstExpiry());
    }
    long nextGrantMillis = nextGrantMillis(now);
    if (now < nextGrantMillis) {
      return new PermitDecision.Wait(nextGrantMillis);
    }
    return grant(chooseAgent(now).orElseThrow(), now);
  }

  private PermitDecision grant(EndpointId agent, long now) {
    partnerFairShares.charge(requests.get(agent).partner, waitingPartners());
    requests.remove(agent);
    lastGrantMillis = now;
    PermitDecision.Grant grant =
        new PermitDecision.Grant(agent, nextGrantId++, now + settings.permitExpiryMillis());
    outstanding.put(agent, grant);
    return grant;
  }

  private Optional<EndpointId> chooseAgent(long now) {
    var entitled = partnerFairShares.entitled(waitingPartners());
    return requests.entrySet().stream()
        .filter(entry -> entitled.contains(entry.getValue().partner))
        .max(
            Comparator.<Map.Entry<EndpointId, Request>>comparingDouble(
                    entry -> entry.getValue().weight(now))
                .thenComparing(Map.Entry::getKey, Comparator.reverseOrder()))
        .map(Map.Entry::getKey);
  }

  private List<PartnerId> waitingPartners() {
    return requests.values().stream().map(Request::partner).distinct().toList();
  }

  private long firstExpiry() {
    return outstanding.values().stream()
        .mapToLong(PermitDecision.Grant::expiresMillis)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /**
   * Returns when the next load may start: at most one interval from now, so that a step back of the
   * clock does not delay every load until the clock has caught up.
   */
  private long nextGrantMillis(long now) {
    if (lastGrantMillis == Long.MIN_VALUE) {
      return now;
    }
    return Math.min(lastGrantMillis + settings.intervalMillis(), now + settings.intervalMillis());
  }
}
