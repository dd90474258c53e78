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
 * Chooses endpoints by a {@link Strategy}. The router keeps its books for every strategy, so that
 * each of them gives admission the same kind of estimate.
 */
final class EndpointChoice {

  private static final long GOLDEN = 0x9E3779B97F4A7C15L;

  private final Strategy strategy;
  private final Router router;
  private final SplittableRandom random;
  private final Map<PoolName, List<FakeEndpoint>> pools = new HashMap<>();
  private final Map<EndpointId, Integer> reported = new HashMap<>();
  private final Map<EndpointId, Integer> since = new HashMap<>();

  EndpointChoice(Strategy strategy, int zone, long seed) {
    this.strategy = strategy;
    this.random = new SplittableRandom(seed);
    RoutingSettings settings =
        strategy instanceof Strategy.Ours ours ? ours.settings() : RoutingSettings.DEFAULT;
    this.router = new Router(zoneName(zone), settings);
    this.router.entryCount(Sizes.ENTRIES);
  }

  static AvailabilityZone zoneName(int zone) {
    return new AvailabilityZone("zone-" + zone);
  }

  void joined(FakeEndpoint endpoint, PoolName pool) {
    pools.computeIfAbsent(pool, name -> new ArrayList<>()).add(endpoint);
    router.endpointJoined(endpoint.id, zoneName(endpoint.zone), pool, 0);
  }

  void reported(FakeEndpoint endpoint, EndpointLoad load, long now) {
    router.loadReported(endpoint.id, load, now);
    reported.put(endpoint.id, load.running() + load.queued());
    since.put(endpoint.id, 0);
  }

  /** Returns where to, and the time until the first token, or nothing. */
  Optional<Choice> choose(Arrival arrival, PoolName pool, Set<EndpointId> excluded, long now) {
    RouteRequest request =
        new RouteRequest(
            pool,
            Optional.of(arrival.adapter()),
            arrival.prefixHash(),
            arrival.tenant().weights(),
            excluded,
            arrival.deadlineMillis() - now);
    List<FakeEndpoint> may =
        pools.get(pool).stream().filter(one -> !excluded.contains(one.id)).toList();
    if (may.isEmpty()) {
      return Optional.empty();
    }
    return switch (strategy) {
      case Strategy.Random unused -> estimated(may.get(random.nextInt(may.size())), request, now);
      case Strategy.LeastLoaded unused -> estimated(leastLoaded(may), request, now);
      case Strategy.PlainRendezvous unused -> estimated(first(may, arrival), request, now);
      case Strategy.Ours unused -> routed(may, request, now);
    };
  }

  void started(Attempt attempt, long now) {
    since.merge(attempt.endpoint.id, 1, Integer::sum);
    router.attemptStarted(attempt.endpoint.id, attempt.arrival.adapter(), now);
  }

  void progress(Attempt attempt, long busyMillis, int tokens, long now) {
    router.progressReported(attempt.endpoint.id, busyMillis, tokens, now);
  }

  void ended(Attempt attempt, AttemptResult result, long now) {
    since.merge(attempt.endpoint.id, -1, Integer::sum);
    router.attemptEnded(attempt.endpoint.id, attempt.arrival.adapter(), result, now);
  }

  private Optional<Choice> routed(List<FakeEndpoint> may, RouteRequest request, long now) {
    return switch (router.route(request, now)) {
      case RouteDecision.SendTo to ->
          may.stream()
              .filter(one -> one.id.equals(to.endpoint()))
              .findFirst()
              .map(one -> new Choice(one, to.estimatedMillis()));
      case RouteDecision.Refuse refuse -> Optional.empty();
    };
  }

  /** Asks the router for its estimate at an endpoint that was chosen otherwise. */
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

  private FakeEndpoint leastLoaded(List<FakeEndpoint> may) {
    FakeEndpoint least = null;
    int fewest = Integer.MAX_VALUE;
    int from = random.nextInt(may.size());
    for (int i = 0; i < may.size(); i++) {
      FakeEndpoint one = may.get((from + i) % may.size());
      int work = reported.getOrDefault(one.id, 0) + since.getOrDefault(one.id, 0);
      if (work < fewest) {
        least = one;
        fewest = work;
      }
    }
    return least;
  }

  private static FakeEndpoint first(List<FakeEndpoint> may, Arrival arrival) {
    FakeEndpoint best = null;
    long most = Long.MIN_VALUE;
    for (FakeEndpoint one : may) {
      long mixed = (arrival.adapter() + "|" + one.id).hashCode() * GOLDEN;
      long weight = (mixed ^ (mixed >>> 29)) * GOLDEN;
      if (best == null || weight > most) {
        best = one;
        most = weight;
      }
    }
    return best;
  }

  /**
   * Where a request goes.
   *
   * @param endpoint where
   * @param waitMillis expected time until its first token
   */
  record Choice(FakeEndpoint endpoint, long waitMillis) {}
}
