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
 * Chooses an endpoint for each attempt: of the endpoints where the adapter is resident or loading
 * and the first few in its rendezvous order, the one of lowest estimated cost. Not thread-safe.
 *
 * <p><b>Problem.</b> Thousands of adapters of skewed popularity share endpoints that hold a few
 * adapters each, and the weight store allows about two loads per second. If requests were
 * distributed without regard to residency, each endpoint would get requests for all adapters and
 * keep the same few popular ones. Nearly every request for another adapter would wait for a load,
 * and the backlog of the weight store would grow without bound.
 *
 * <p><b>Preference order.</b> Each adapter version orders the endpoints of its pool by rendezvous
 * hashing. So all entries send it to the same endpoint without coordination, and the pool as a
 * whole holds as many different adapters as it has slots. But the order reflects neither load nor
 * evictions: the first endpoint may be full, or may have evicted the adapter. So the order only
 * determines where to load an adapter.
 *
 * <p><b>Cost.</b> Load reports show where an adapter is resident, and the entry's own dispatches
 * show where it is being loaded. These replicas and the first few endpoints of the order are
 * compared by {@link CostEstimate}, and the cheapest gets the attempt. No other endpoint is
 * considered, so the time does not grow with the size of the pool.
 *
 * <p><b>Replication.</b> When requests queue at the only replica of an adapter, a load at another
 * endpoint becomes cheaper; the higher the adapter's request rate, the sooner, because a load that
 * serves many requests justifies the delay for others. So a popular adapter gets another replica,
 * which all entries learn from the next load report. Replicas that are no longer needed for the
 * rate get fewer requests until their agents evict the adapter. A rarely used adapter has one
 * replica.
 *
 * <p>Example: an adapter is resident at A, where the queue wait is 400 ms. A load at B takes 500
 * ms, is weighted by 1.5 and delays no other request, so B costs 750 + 500 / uses. With 5 requests
 * per second the adapter has 51 expected uses, so B costs 760 and the request stays at A. With a
 * queue wait of 800 ms at A it goes to B.
 *
 * <p><b>Restart of all endpoints.</b> No adapter is resident and every load wait is long. All
 * requests for an adapter follow the first one to the endpoint that loads it, so there is one load
 * per requested adapter rather than one per request.
 *
 * <p>Rejected: least outstanding requests alone (no locality); rendezvous hashing alone (a popular
 * adapter overloads its endpoint); a shared map from adapters to endpoints in the table (one write
 * per load, and no routing while the table is down).
 */
public final class Router {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final AvailabilityZone ownZone;
  private final RoutingSettings settings;
  private final CostEstimate cost;
  private final Map<EndpointId, EndpointState> endpoints = new HashMap<>();
  private final Map<PoolName, EndpointPool> pools = new HashMap<>();
  private final PrefixCacheIndex prefixIndex = new PrefixCacheIndex();

  private EndpointState best;
  private double bestCost;
  private long bestWaitMillis;

  /**
   * Creates a router without endpoints, with the default settings.
   *
   * @param ownZone the availability zone of this entry
   */
  public Router(AvailabilityZone ownZone) {
    this(ownZone, RoutingSettings.DEFAULT);
  }

  /**
   * Creates a router without endpoints.
   *
   * @param ownZone the availability zone of this entry
   * @param settings parameters and feature switches
   */
  public Router(AvailabilityZone ownZone, RoutingSettings settings) {
    this.ownZone = ownZone;
    this.settings = settings;
    this.cost = new CostEstimate(settings);
  }

  /**
   * Sets the number of entries that share the traffic, from which the total request rate of an
   * adapter and the dispatches of the other entries are estimated.
   *
   * @param count number of entries, including this one
   */
  public void entryCount(int count) {
    cost.setEntryCount(count);
  }

  /**
   * Adds an endpoint that accepts requests, or accepts them again.
   *
   * @param id the endpoint
   * @param zone its availability zone
   * @param pool its pool
   * @param now current time in milliseconds
   */
  public void endpointJoined(EndpointId id, AvailabilityZone zone, PoolName pool, long now) {
    endpointLeft(id, now);
    EndpointPool endpointPool = pools.computeIfAbsent(pool, name -> new EndpointPool());
    long roundTrip = zone.equals(ownZone) ? 0 : settings.crossZoneMillis();
    EndpointState state = new EndpointState(id, endpointPool, roundTrip, settings.loadMillis());
    endpoints.put(id, state);
    endpointPool.add(state);
  }

  /**
   * Removes an endpoint that is leaving or whose connection is lost. Later load reports and attempt
   * results of it are ignored.
   *
   * @param id the endpoint
   * @param now current time in milliseconds
   */
  public void endpointLeft(EndpointId id, @SuppressWarnings("unused") long now) {
    EndpointState state = endpoints.remove(id);
    if (state != null) {
      state.pool.remove(state);
    }
  }

  /**
   * Applies a load report.
   *
   * @param id the endpoint
   * @param load the report
   * @param now current time in milliseconds
   */
  public void loadReported(EndpointId id, EndpointLoad load, long now) {
    EndpointState state = endpoints.get(id);
    if (state != null) {
      state.updateLoad(load, settings.loadMillis());
      if (settings.residency()) {
        state.pool.updateResidency(state, load.resident(), now);
      }
    }
  }

  /**
   * Chooses an endpoint for an attempt.
   *
   * @param request the attempt
   * @param now current time in milliseconds
   * @return the chosen endpoint with the expected time until the first token, or a refusal when
   *     there is no endpoint
   */
  public RouteDecision route(RouteRequest request, long now) {
    EndpointPool pool = pools.get(request.pool());
    best = null;
    bestCost = Double.POSITIVE_INFINITY;
    if (pool != null) {
      findBest(pool, request, now);
    }
    if (best == null) {
      return new RouteDecision.Refuse(FailureType.NO_ENDPOINT, RETRY_AFTER_MILLIS);
    }
    prefixIndex.record(request.prefixHash(), best);
    return new RouteDecision.SendTo(best.id, bestWaitMillis);
  }

  private void findBest(EndpointPool pool, RouteRequest request, long now) {
    if (request.adapter().isEmpty()) {
      considerAll(pool, request, now, false);
    } else {
      considerReplicas(pool, request, now);
    }
    if (best == null) {
      considerAll(pool, request, now, true);
    }
  }

  /**
   * Considers all endpoints of the pool: for plain services, and, including ejected endpoints, when
   * there is no candidate otherwise.
   */
  private void considerAll(
      EndpointPool pool, RouteRequest request, long now, boolean includeEjected) {
    List<EndpointState> all = pool.endpoints;
    for (int i = 0; i < all.size(); i++) {
      EndpointState endpoint = all.get(i);
      boolean lastResort = includeEjected && !request.excluded().contains(endpoint.id);
      if (lastResort || isEligible(endpoint, request, now)) {
        consider(endpoint, cost.residentCost(endpoint) + prefixMissCost(endpoint, request));
      }
    }
  }

  private void considerReplicas(EndpointPool pool, RouteRequest request, long now) {
    AdapterState state = pool.adapterState(request.adapter().orElseThrow(), now);
    EndpointState[] preferred = state.preferredEndpoints(pool, settings.candidateCount());
    double demand = state.demandPerSecond(now);
    double stallFactor = CostEstimate.stallFactor(request.weights());
    List<AdapterReplica> replicas = state.replicas();
    for (int i = 0; i < replicas.size(); i++) {
      AdapterReplica replica = replicas.get(i);
      if (isEligible(replica.endpoint, request, now)) {
        double base =
            replica.resident
                ? cost.residentCost(replica.endpoint)
                : cost.loadingCost(replica, stallFactor, now);
        consider(replica.endpoint, base + prefixMissCost(replica.endpoint, request));
      }
    }
    for (int rank = 0; rank < preferred.length; rank++) {
      EndpointState endpoint = preferred[rank];
      if (state.replicaAt(endpoint) == null && isEligible(endpoint, request, now)) {
        consider(endpoint, cost.absentCost(endpoint, stallFactor, demand));
      }
    }
  }

  private void consider(EndpointState endpoint, double endpointCost) {
    if (endpointCost < bestCost) {
      best = endpoint;
      bestCost = endpointCost;
      bestWaitMillis = cost.waitMillis(endpoint);
    }
  }

  /**
   * Returns whether an endpoint may be chosen: it is not excluded, and not ejected unless its probe
   * is due.
   */
  private boolean isEligible(EndpointState endpoint, RouteRequest request, long now) {
    Set<EndpointId> excluded = request.excluded();
    if (!excluded.isEmpty() && excluded.contains(endpoint.id)) {
      return false;
    }
    return !endpoint.health.isEjected() || endpoint.health.isProbeDue(now);
  }

  private double prefixMissCost(EndpointState endpoint, RouteRequest request) {
    boolean noMiss =
        request.prefixHash() == 0 || prefixIndex.isCached(request.prefixHash(), endpoint);
    return noMiss ? 0 : settings.prefixSavingMillis();
  }

  /**
   * Records that an attempt was dispatched.
   *
   * @param id the endpoint
   * @param adapter the adapter it needs, or null for a plain service
   * @param now current time in milliseconds
   */
  public void attemptStarted(EndpointId id, AdapterRef adapter, long now) {
    EndpointState state = endpoints.get(id);
    if (state == null) {
      return;
    }
    if (state.health.isProbeDue(now)) {
      state.health.probing = true;
    }
    state.attemptStarted(adapter == null || state.resident.contains(adapter));
    if (adapter != null && settings.residency()) {
      state.pool.adapterState(adapter, now).attemptStarted(state, now);
    }
  }

  /**
   * Records that an attempt ended.
   *
   * @param id the endpoint
   * @param adapter the adapter it needed, or null for a plain service
   * @param result its result
   * @param now current time in milliseconds
   */
  public void attemptEnded(EndpointId id, AdapterRef adapter, AttemptResult result, long now) {
    EndpointState state = endpoints.get(id);
    if (state == null) {
      return;
    }
    state.attemptEnded();
    if (adapter != null && settings.residency()) {
      state.pool.adapterState(adapter, now).attemptEnded(state);
    }
    switch (result) {
      case AttemptResult.Completed completed -> onCompleted(state, completed, now);
      case AttemptResult.Failed failed -> onFailed(state, now);
      case AttemptResult.Refused refused -> state.health.probing = false;
      case AttemptResult.Expired expired -> {
        state.health.probing = false;
        progressReported(id, expired.busyMillis(), expired.tokens(), now);
      }
      case AttemptResult.Cancelled cancelled -> state.health.probing = false;
    }
  }

  /**
   * Records the speed of a response that is being received; called about once a second for each
   * response. Otherwise an endpoint that is too slow to complete any response before its deadline
   * would never be measured.
   *
   * @param id the endpoint
   * @param busyMillis time since the first token
   * @param tokens number of tokens received since then
   * @param now current time in milliseconds
   */
  public void progressReported(EndpointId id, long busyMillis, int tokens, long now) {
    EndpointState state = endpoints.get(id);
    if (state != null && settings.ejection() && tokens > 0) {
      OutlierEjection.sampleObserved(state, (double) busyMillis / tokens, now);
    }
  }

  /**
   * Returns how many requests a pool can run at once.
   *
   * @param pool the pool
   * @return the sum of the batch sizes of its live endpoints, from their last reports
   */
  public int batchCapacity(PoolName pool) {
    EndpointPool endpointPool = pools.get(pool);
    return endpointPool == null ? 0 : endpointPool.endpoints.stream().mapToInt(e -> e.batch).sum();
  }

  private void onCompleted(EndpointState state, AttemptResult.Completed completed, long now) {
    long generationTime = completed.totalMillis() - completed.firstTokenMillis();
    boolean hasTokens = completed.tokens() > 0;
    long serviceTime =
        hasTokens ? generationTime : completed.totalMillis() - completed.loadStallMillis();
    state.pool.recordServiceTime(serviceTime);
    if (settings.ejection()) {
      OutlierEjection.attemptSucceeded(
          state, hasTokens ? (double) serviceTime / completed.tokens() : serviceTime, now);
    }
  }

  private void onFailed(EndpointState state, long now) {
    if (settings.ejection()) {
      OutlierEjection.attemptFailed(state, now);
    }
  }
}
