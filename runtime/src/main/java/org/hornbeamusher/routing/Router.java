package org.hornbeamusher.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.PoolName;

/**
 * Chooses an endpoint for each attempt. Not safe for use by several threads at once.
 *
 * <p><b>Pattern.</b> Thousands of adapters with skewed popularity share endpoints that hold a few
 * each, and the weight store gives about two loads a second. Spread without regard to residency,
 * each endpoint sees all adapters and keeps the same few hot ones; nearly every other request waits
 * for a load, and the store falls behind for good.
 *
 * <p><b>Order.</b> Every adapter and version orders its pool's endpoints by rendezvous hashing, so
 * that entries send it to the same place without talking and the pool as a whole holds as many
 * different adapters as it has slots. The order alone is blind: it sends to a full endpoint, and
 * the first of the order does not hold what was evicted there. So it is only where adapters go that
 * are nowhere resident.
 *
 * <p><b>Correction.</b> Reports say where an adapter is resident, and own dispatches say where it
 * soon will be. These homes and the first few of the order are weighed by {@link CostEstimate}, and
 * the cheapest gets the attempt. Endpoints beyond those are never looked at, so the time does not
 * grow with the pool.
 *
 * <p><b>Growth.</b> A queue at the only home makes a load elsewhere the cheaper choice, the sooner
 * the higher the adapter's decayed rate, because a load that many will use delays others for a good
 * reason. So a hot adapter gets another home, which all entries learn from the next report. Homes
 * that its demand no longer fills are used less and their agents evict them. A cold adapter has
 * one.
 *
 * <p>Example: an adapter is resident at A, whose queue takes 400 ms. A load at B takes 500 ms and
 * counts 1.5 times, and it delays nobody: 750 + 500 / uses. A demand of 5 a second makes 51 uses. B
 * costs 760, so the request stays at A. At a queue of 800 ms it goes to B.
 *
 * <p><b>Restart of all endpoints.</b> No adapter is resident, every load wait is long. Requests for
 * one adapter follow the first of them to the place that loads it, so loads are as many as adapters
 * asked for, not as many as requests.
 *
 * <p>Rejected: least outstanding work alone (it has no locality), rendezvous alone (a hot adapter
 * drowns its endpoint), a shared map of adapters to endpoints in the table (a write for each load,
 * and routing stops with the table).
 */
public final class Router {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final AvailabilityZone ownZone;
  private final RoutingSettings settings;
  private final CostEstimate cost;
  private final Map<EndpointId, EndpointState> endpoints = new HashMap<>();
  private final Map<PoolName, EndpointPool> pools = new HashMap<>();
  private final PrefixMemory prefixes = new PrefixMemory();

  private EndpointState best;
  private double bestCost;
  private long bestWaitMillis;

  /**
   * Creates a router that knows no endpoint.
   *
   * @param ownZone the availability zone of this entry
   */
  public Router(AvailabilityZone ownZone) {
    this(ownZone, RoutingSettings.DEFAULT);
  }

  /**
   * Creates a router that knows no endpoint.
   *
   * @param ownZone the availability zone of this entry
   * @param settings figures and switches
   */
  public Router(AvailabilityZone ownZone, RoutingSettings settings) {
    this.ownZone = ownZone;
    this.settings = settings;
    this.cost = new CostEstimate(settings);
  }

  /**
   * Tells how many entries share the traffic, from which the whole demand of an adapter and the
   * work that other entries send are estimated.
   *
   * @param count entries, this one included
   */
  public void entryCount(int count) {
    cost.entryCount(count);
  }

  /**
   * Adds an endpoint that takes work, or one that takes work again.
   *
   * @param id the endpoint
   * @param zone where it is
   * @param pool what it belongs to
   * @param now milliseconds
   */
  public void endpointJoined(EndpointId id, AvailabilityZone zone, PoolName pool, long now) {
    endpointLeft(id, now);
    EndpointPool joined = pools.computeIfAbsent(pool, name -> new EndpointPool());
    long hop = zone.equals(ownZone) ? 0 : settings.crossZoneMillis();
    EndpointState state = new EndpointState(id, joined, hop, settings.loadMillis());
    endpoints.put(id, state);
    joined.add(state);
  }

  /**
   * Takes an endpoint out: it is leaving, or its connection is lost. Reports and ends of attempts
   * that arrive later are ignored.
   *
   * @param id the endpoint
   * @param now milliseconds
   */
  public void endpointLeft(EndpointId id, @SuppressWarnings("unused") long now) {
    EndpointState state = endpoints.remove(id);
    if (state != null) {
      state.pool.remove(state);
    }
  }

  /**
   * Takes in a report.
   *
   * @param id the endpoint
   * @param load what it said
   * @param now milliseconds
   */
  public void loadReported(EndpointId id, EndpointLoad load, long now) {
    EndpointState state = endpoints.get(id);
    if (state != null) {
      state.take(load, settings.loadMillis());
      if (settings.residency()) {
        state.pool.residency(state, load.resident(), now);
      }
    }
  }

  /**
   * Chooses.
   *
   * @param request what is to be sent
   * @param now milliseconds
   * @return where it goes; the estimate is time until its first token
   */
  public RouteDecision route(RouteRequest request, long now) {
    EndpointPool pool = pools.get(request.pool());
    best = null;
    bestCost = Double.POSITIVE_INFINITY;
    if (pool != null) {
      weigh(pool, request, now);
    }
    if (best == null) {
      return new RouteDecision.Refuse(FailureType.NO_ENDPOINT, RETRY_AFTER_MILLIS);
    }
    prefixes.sent(request.prefixHash(), best);
    return new RouteDecision.SendTo(best.id, bestWaitMillis);
  }

  private void weigh(EndpointPool pool, RouteRequest request, long now) {
    if (request.adapter().isEmpty()) {
      weighAll(pool, request, now, false);
    } else {
      weighHomes(pool, request, now);
    }
    if (best == null) {
      weighAll(pool, request, now, true);
    }
  }

  /** For plain services, and when every candidate is excluded: any endpoint may do. */
  private void weighAll(EndpointPool pool, RouteRequest request, long now, boolean ejectedToo) {
    List<EndpointState> all = pool.endpoints;
    for (int i = 0; i < all.size(); i++) {
      EndpointState endpoint = all.get(i);
      boolean lastResort = ejectedToo && !request.excluded().contains(endpoint.id);
      if (lastResort || may(endpoint, request, now)) {
        offer(endpoint, cost.resident(endpoint) + prefixLoss(endpoint, request));
      }
    }
  }

  private void weighHomes(EndpointPool pool, RouteRequest request, long now) {
    AdapterHomes homes = pool.homes(request.adapter().orElseThrow(), now);
    EndpointState[] order = homes.order(pool, settings.candidateCount());
    double demand = homes.demandPerSecond(now);
    double stallFactor = CostEstimate.stallFactor(request.weights());
    List<Home> known = homes.homes();
    for (int i = 0; i < known.size(); i++) {
      Home home = known.get(i);
      if (may(home.endpoint, request, now)) {
        double base =
            home.resident ? cost.resident(home.endpoint) : cost.pending(home, stallFactor, now);
        offer(home.endpoint, base + prefixLoss(home.endpoint, request));
      }
    }
    for (int rank = 0; rank < order.length; rank++) {
      EndpointState endpoint = order[rank];
      if (homes.home(endpoint) == null && may(endpoint, request, now)) {
        offer(endpoint, cost.absent(endpoint, stallFactor, demand));
      }
    }
  }

  private void offer(EndpointState endpoint, double offeredCost) {
    if (offeredCost < bestCost) {
      best = endpoint;
      bestCost = offeredCost;
      bestWaitMillis = cost.waitMillis(endpoint);
    }
  }

  /** An ejected endpoint gets one attempt when its test is due, and otherwise none. */
  private boolean may(EndpointState endpoint, RouteRequest request, long now) {
    Set<EndpointId> excluded = request.excluded();
    if (!excluded.isEmpty() && excluded.contains(endpoint.id)) {
      return false;
    }
    return !endpoint.speed.ejected() || endpoint.speed.probeDue(now);
  }

  private double prefixLoss(EndpointState endpoint, RouteRequest request) {
    boolean kept = request.prefixHash() == 0 || prefixes.cached(request.prefixHash(), endpoint);
    return kept ? 0 : settings.prefixSavingMillis();
  }

  /**
   * Records that an attempt was sent.
   *
   * @param id where
   * @param adapter what it runs on, or null for a plain service
   * @param now milliseconds
   */
  public void attemptStarted(EndpointId id, AdapterRef adapter, long now) {
    EndpointState state = endpoints.get(id);
    if (state == null) {
      return;
    }
    if (state.speed.probeDue(now)) {
      state.speed.probing = true;
    }
    state.started(adapter == null || state.resident.contains(adapter));
    if (adapter != null && settings.residency()) {
      state.pool.homes(adapter, now).started(state, now);
    }
  }

  /**
   * Records that an attempt ended.
   *
   * @param id where it ran
   * @param adapter what it ran on, or null for a plain service
   * @param result how it ended
   * @param now milliseconds
   */
  public void attemptEnded(EndpointId id, AdapterRef adapter, AttemptResult result, long now) {
    EndpointState state = endpoints.get(id);
    if (state == null) {
      return;
    }
    state.ended();
    if (adapter != null && settings.residency()) {
      state.pool.homes(adapter, now).ended(state);
    }
    switch (result) {
      case AttemptResult.Completed answered -> answered(state, answered, now);
      case AttemptResult.Failed failed -> failed(state, now);
      case AttemptResult.Refused refused -> state.speed.probing = false;
      case AttemptResult.Expired expired -> {
        state.speed.probing = false;
        progressReported(id, expired.busyMillis(), expired.tokens(), now);
      }
      case AttemptResult.Cancelled cancelled -> state.speed.probing = false;
    }
  }

  /**
   * Records how fast an answer comes that is under way; called about once a second for each. An
   * endpoint so slow that its answers all miss their deadlines would otherwise never be measured.
   *
   * @param id where it runs
   * @param busyMillis since its first token
   * @param tokens that have come since
   * @param now milliseconds
   */
  public void progressReported(EndpointId id, long busyMillis, int tokens, long now) {
    EndpointState state = endpoints.get(id);
    if (state != null && settings.ejection() && tokens > 0) {
      SlowEndpoints.observed(state, (double) busyMillis / tokens, now);
    }
  }

  /**
   * Returns how many requests a pool runs at once.
   *
   * @param pool the pool
   * @return places in the batches of its live endpoints, by their last reports
   */
  public int batchCapacity(PoolName pool) {
    EndpointPool known = pools.get(pool);
    return known == null ? 0 : known.endpoints.stream().mapToInt(e -> e.batch).sum();
  }

  private void answered(EndpointState state, AttemptResult.Completed answered, long now) {
    long busy = answered.totalMillis() - answered.firstTokenMillis();
    boolean counted = answered.tokens() > 0;
    long work = counted ? busy : answered.totalMillis() - answered.loadStallMillis();
    state.pool.served(work);
    if (settings.ejection()) {
      SlowEndpoints.answered(state, counted ? (double) work / answered.tokens() : work, now);
    }
  }

  private void failed(EndpointState state, long now) {
    if (settings.ejection()) {
      SlowEndpoints.failed(state, now);
    }
  }
}
