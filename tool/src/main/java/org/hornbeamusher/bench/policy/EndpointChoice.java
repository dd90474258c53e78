package org.hornbeamusher.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.routing.AttemptResult;
import org.hornbeamusher.routing.EndpointLoad;
import org.hornbeamusher.routing.RouteDecision;
import org.hornbeamusher.routing.RouteRequest;
import org.hornbeamusher.routing.Router;
import org.hornbeamusher.routing.RoutingSettings;

/**
 * Chooses endpoints by a {@link Strategy}. The router is kept up to date with every strategy, so
 * that admission receives the same kind of wait estimate whichever strategy chooses.
 */
final class EndpointChoice {

  private static final long GOLDEN = 0x9E3779B97F4A7C15L;

  private final Strategy strategy;
  private final Router router;
  private final SplittableRandom random;
  private final Map<PoolName, List<FakeEndpoint>> pools = new HashMap<>();
  private final Map<EndpointId, Integer> reportedRequests = new HashMap<>();
  private final Map<EndpointId, Integer> dispatchedSinceReport = new HashMap<>();

  EndpointChoice(Strategy strategy, int zone, long seed) {
    this.strategy = strategy;
    this.random = new SplittableRandom(seed);
    RoutingSettings settings =
        strategy instanceof Strategy.ProductRouter ours ? ours.settings() : RoutingSettings.DEFAULT;
    this.router = new Router(zoneName(zone), settings);
    this.router.entryCount(SimulationSizes.ENTRIES);
  }

  static AvailabilityZone zoneName(int zone) {
    return new AvailabilityZone("zone-" + zone);
  }

  void endpointJoined(FakeEndpoint endpoint, PoolName pool) {
    pools.computeIfAbsent(pool, name -> new ArrayList<>()).add(endpoint);
    router.endpointJoined(endpoint.id, zoneName(endpoint.zone), pool, 0);
  }

  void loadReported(FakeEndpoint endpoint, EndpointLoad load, long now) {
    router.loadReported(endpoint.id, load, now);
    reportedRequests.put(endpoint.id, load.running() + load.queued());
    dispatchedSinceReport.put(endpoint.id, 0);
  }

  /** Returns the chosen endpoint with the estimated time to the first token, or empty if none. */
  Optional<Choice> choose(Arrival arrival, PoolName pool, Set<EndpointId> excluded, long now) {
    RouteRequest request =
        new RouteRequest(
            pool,
            Optional.of(arrival.adapter()),
            arrival.prefixHash(),
            arrival.tenant().weights(),
            excluded,
            arrival.deadlineMillis() - now);
    List<FakeEndpoint> candidates =
        pools.get(pool).stream().filter(one -> !excluded.contains(one.id)).toList();
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    return switch (strategy) {
      case Strategy.Random unused ->
          estimated(candidates.get(random.nextInt(candidates.size())), request, now);
      case Strategy.LeastLoaded unused -> estimated(leastLoaded(candidates), request, now);
      case Strategy.PlainRendezvous unused ->
          estimated(highestWeight(candidates, arrival), request, now);
      case Strategy.ProductRouter unused -> routed(candidates, request, now);
    };
  }

  void attemptStarted(Attempt attempt, long now) {
    dispatchedSinceReport.merge(attempt.endpoint.id, 1, Integer::sum);
    router.attemptStarted(attempt.endpoint.id, attempt.arrival.adapter(), now);
  }

  void progress(Attempt attempt, long busyMillis, int tokens, long now) {
    router.progressReported(attempt.endpoint.id, busyMillis, tokens, now);
  }

  void attemptEnded(Attempt attempt, AttemptResult result, long now) {
    dispatchedSinceReport.merge(attempt.endpoint.id, -1, Integer::sum);
    router.attemptEnded(attempt.endpoint.id, attempt.arrival.adapter(), result, now);
  }

  private Optional<Choice> routed(List<FakeEndpoint> candidates, RouteRequest request, long now) {
    return switch (router.route(request, now)) {
      case RouteDecision.SendTo to ->
          candidates.stream()
              .filter(one -> one.id.equals(to.endpoint()))
              .findFirst()
              .map(one -> new Choice(one, to.estimatedMillis()));
      case RouteDecision.Refuse refuse -> Optional.empty();
    };
  }

  /** Returns the router's estimate for an endpoint that another strategy has chosen. */
  private Optional<Choice> estimated(FakeEndpoint chosen, RouteRequest request, long now) {
    Set<EndpointId> others = new java.util.HashSet<>();
    for (FakeEndpoint one : pools.get(request.pool())) {
      if (one != chosen) {
        others.add(one.id);
      }
    }
    RouteRequest only =
        new RouteRequest(
            request.pool(),
            request.adapter(),
            request.prefixHash(),
            request.weights(),
            others,
            request.remainingMillis());
    return routed(List.of(chosen), only, now);
  }

  private FakeEndpoint leastLoaded(List<FakeEndpoint> candidates) {
    FakeEndpoint leastLoaded = null;
    int fewest = Integer.MAX_VALUE;
    int from = random.nextInt(candidates.size());
    for (int i = 0; i < candidates.size(); i++) {
      FakeEndpoint one = candidates.get((from + i) % candidates.size());
      int requests =
          reportedRequests.getOrDefault(one.id, 0) + dispatchedSinceReport.getOrDefault(one.id, 0);
      if (requests < fewest) {
        leastLoaded = one;
        fewest = requests;
      }
    }
    return leastLoaded;
  }

  private static FakeEndpoint highestWeight(List<FakeEndpoint> candidates, Arrival arrival) {
    FakeEndpoint best = null;
    long highest = Long.MIN_VALUE;
    for (FakeEndpoint one : candidates) {
      long mixed = (arrival.adapter() + "|" + one.id).hashCode() * GOLDEN;
      long weight = (mixed ^ (mixed >>> 29)) * GOLDEN;
      if (best == null || weight > highest) {
        best = one;
        highest = weight;
      }
    }
    return best;
  }

  /**
   * The endpoint chosen for a request.
   *
   * @param endpoint the endpoint
   * @param waitMillis estimated time to the first token
   */
  record Choice(FakeEndpoint endpoint, long waitMillis) {}
}
