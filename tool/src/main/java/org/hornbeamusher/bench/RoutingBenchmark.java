package org.hornbeamusher.bench;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.documents.ServiceDocument.CostWeights;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.routing.AttemptResult;
import org.hornbeamusher.routing.EndpointLoad;
import org.hornbeamusher.routing.RouteDecision;
import org.hornbeamusher.routing.RouteRequest;
import org.hornbeamusher.routing.Router;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures time and allocation of one routing decision at the expected scale. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class RoutingBenchmark {

  private static final PoolName POOL = new PoolName("base-model");
  private static final int ADAPTERS = 47_000;
  private static final int SLOTS = 8;
  private static final int ZONES = 15;
  private static final int REQUESTS = 1 << 16;
  private static final double SKEW = 4;

  /** Number of endpoints in the pool. */
  @Param({"14", "140", "1400"})
  public int endpoints;

  private Router router;
  private RouteRequest[] requests;
  private EndpointId[] ids;
  private int next;
  private long now;

  /** Fills a router with endpoints, each with a few resident adapters, and draws the requests. */
  @Setup
  public void fill() {
    final SplittableRandom random = new SplittableRandom(1);
    router = new Router(new AvailabilityZone("zone-0"));
    AdapterRef[] adapters = new AdapterRef[ADAPTERS];
    for (int i = 0; i < ADAPTERS; i++) {
      adapters[i] = AdapterRef.parse("service/adapter-" + i + "@1");
    }
    ids = new EndpointId[endpoints];
    for (int i = 0; i < endpoints; i++) {
      ids[i] = new EndpointId("endpoint-" + i);
      router.endpointJoined(ids[i], new AvailabilityZone("zone-" + i % ZONES), POOL, 0);
      Set<AdapterRef> resident = new HashSet<>();
      for (int slot = 0; slot < SLOTS; slot++) {
        resident.add(adapters[skewed(random)]);
      }
      int wait = random.nextInt(200);
      router.loadReported(ids[i], new EndpointLoad(4, 1, 8, SLOTS, wait, 800, resident), 0);
    }
    requests = new RouteRequest[REQUESTS];
    for (int i = 0; i < REQUESTS; i++) {
      AdapterRef adapter = adapters[skewed(random)];
      requests[i] =
          new RouteRequest(
              POOL,
              Optional.of(adapter),
              random.nextLong(),
              new CostWeights(3, 1),
              Set.of(),
              10_000);
    }
    for (RouteRequest request : requests) {
      router.route(request, 0);
    }
  }

  /** Draws the index of an adapter; the distribution is skewed towards low indices. */
  private static int skewed(SplittableRandom random) {
    return (int) (ADAPTERS * Math.pow(random.nextDouble(), SKEW));
  }

  /**
   * Routes a request and records the start and the end of its attempt.
   *
   * @return the decision
   */
  @Benchmark
  public RouteDecision routeStartEnd() {
    RouteRequest request = requests[next++ & (REQUESTS - 1)];
    now++;
    RouteDecision decision = router.route(request, now);
    if (decision instanceof RouteDecision.SendTo to) {
      AdapterRef adapter = request.adapter().orElseThrow();
      router.attemptStarted(to.endpoint(), adapter, now);
      router.attemptEnded(to.endpoint(), adapter, new AttemptResult.Cancelled(), now);
    }
    return decision;
  }

  /**
   * Routes a request.
   *
   * @return the decision
   */
  @Benchmark
  public RouteDecision route() {
    return router.route(requests[next++ & (REQUESTS - 1)], now);
  }

  /**
   * Routes the first request after a membership change, which recomputes the order of the endpoints
   * for the adapter.
   *
   * @return the decision
   */
  @Benchmark
  public RouteDecision routeAfterJoin() {
    router.endpointJoined(ids[0], new AvailabilityZone("zone-0"), POOL, now);
    return router.route(requests[next++ & (REQUESTS - 1)], now);
  }
}
