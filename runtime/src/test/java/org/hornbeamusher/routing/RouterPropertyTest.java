package org.hornbeamusher.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hornbeamusher.documents.ServiceDocument.CostWeights;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.PoolName;

class RouterPropertyTest {

  private static final PoolName POOL = new PoolName("valuer-llm");
  private static final AvailabilityZone ZONE = new AvailabilityZone("akl-east");
  private static final int ENDPOINT_COUNT = 7;
  private static final int ADAPTER_COUNT = 5;
  private static final int STEP_KINDS = 8;

  // Endpoints join, leave, report late and fail in random order. Guards against attempts sent to an
  // endpoint that has left or is excluded, and against refusals although an endpoint is available.
  @Property(seed = "4711", tries = 400)
  void everyAttemptGoesToLiveEndpointThatIsNotExcluded(
      @ForAll @Size(min = 1, max = 120) List<@IntRange(max = 10_000) Integer> steps) {
    Router router = new Router(ZONE);
    Set<EndpointId> live = new HashSet<>();
    long now = 0;
    for (int step : steps) {
      now += step % 997;
      EndpointId id = endpoint(step / STEP_KINDS % ENDPOINT_COUNT);
      AdapterRef adapter = adapter(step / (STEP_KINDS * ENDPOINT_COUNT) % ADAPTER_COUNT);
      apply(router, live, step % STEP_KINDS, id, adapter, now);
      check(router, live, id, adapter, now);
    }
  }

  private static void apply(
      Router router, Set<EndpointId> live, int kind, EndpointId id, AdapterRef adapter, long now) {
    switch (kind) {
      case 0, 1 -> {
        router.endpointJoined(id, ZONE, POOL, now);
        live.add(id);
      }
      case 2 -> {
        router.endpointLeft(id, now);
        live.remove(id);
      }
      case 3 -> router.loadReported(id, load(adapter), now);
      case 4 -> router.attemptStarted(id, adapter, now);
      case 5 -> router.attemptEnded(id, adapter, new AttemptResult.Failed(), now);
      case 6 -> router.attemptEnded(id, adapter, new AttemptResult.Completed(9, 900, 0, 9), now);
      default -> router.progressReported(id, 90_000, 1, now);
    }
  }

  private static void check(
      Router router, Set<EndpointId> live, EndpointId excluded, AdapterRef adapter, long now) {
    Set<EndpointId> allowed = new HashSet<>(live);
    allowed.remove(excluded);
    RouteRequest request =
        new RouteRequest(
            POOL, Optional.of(adapter), 7, new CostWeights(1, 1), Set.of(excluded), 10_000);
    switch (router.route(request, now)) {
      case RouteDecision.SendTo to -> assertTrue(allowed.contains(to.endpoint()));
      case RouteDecision.Refuse refuse -> assertEquals(Set.of(), allowed);
    }
  }

  private static EndpointLoad load(AdapterRef adapter) {
    return new EndpointLoad(3, 2, 8, 8, 40, 700, Set.of(adapter));
  }

  private static EndpointId endpoint(int number) {
    return new EndpointId("valuer-" + number);
  }

  private static AdapterRef adapter(int number) {
    return AdapterRef.parse("valuer-llm/adapter-" + number + "@1");
  }
}
