package org.hornbeamusher.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.documents.ServiceDocument.CostWeights;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.PoolName;
import org.junit.jupiter.api.Test;

class RouterTest {

  private static final PoolName POOL = new PoolName("lm-dispatch");
  private static final AvailabilityZone MARKA = new AvailabilityZone("marka");
  private static final AvailabilityZone SAHAB = new AvailabilityZone("sahab");
  private static final AdapterRef ADAPTER = AdapterRef.parse("lm-dispatch/roster@1");
  private static final int BATCH = 8;

  @Test
  void coldAdapterGoesToTheSameEndpointFromEveryEntry() {
    Router one = router(6);
    Router other = router(6);
    for (int i = 0; i < 50; i++) {
      AdapterRef adapter = AdapterRef.parse("lm-dispatch/adapter-" + i + "@1");
      assertEquals(chosen(one, adapter, 0), chosen(other, adapter, 0));
    }
  }

  @Test
  void reportedReplicaIsPreferred() {
    Router router = router(6);
    EndpointId first = chosen(router, ADAPTER, 0);
    EndpointId resident = endpoint(first.equals(endpoint(0)) ? 1 : 0);
    router.loadReported(resident, load(0, 0, 0, Set.of(ADAPTER)), 10);
    assertEquals(resident, chosen(router, ADAPTER, 20));
  }

  // After an eviction, which the next report shows, requests must no longer be sent to an endpoint
  // that would have to load the adapter again.
  @Test
  void replicaMissingFromTheNextReportIsRemoved() {
    Router router = router(6);
    EndpointId first = chosen(router, ADAPTER, 0);
    EndpointId resident = endpoint(first.equals(endpoint(0)) ? 1 : 0);
    router.loadReported(resident, load(0, 0, 0, Set.of(ADAPTER)), 10);
    router.loadReported(resident, load(0, 0, 0, Set.of()), 20);
    assertEquals(first, chosen(router, ADAPTER, 30));
  }

  // An endpoint drains while it still runs attempts of this entry. A new attempt would be refused
  // or
  // aborted there, although its adapter is resident and a late report says so.
  @Test
  void leavingEndpointGetsNoAttemptDespiteResidentAdapter() {
    Router router = router(3);
    EndpointId leaving = chosen(router, ADAPTER, 0);
    router.attemptStarted(leaving, ADAPTER, 0);
    router.loadReported(leaving, load(1, 0, 0, Set.of(ADAPTER)), 10);
    router.endpointLeft(leaving, 20);
    router.loadReported(leaving, load(0, 0, 0, Set.of(ADAPTER)), 30);
    for (int i = 0; i < 20; i++) {
      assertNotEquals(leaving, chosen(router, ADAPTER, 40 + i));
    }
  }

  @Test
  void excludedEndpointGetsNoAttempt() {
    Router router = router(2);
    EndpointId first = chosen(router, ADAPTER, 0);
    EndpointId other = sendTo(router.route(request(ADAPTER, Set.of(first)), 0));
    assertNotEquals(first, other);
    RouteDecision none = router.route(request(ADAPTER, Set.of(first, other)), 0);
    assertEquals(
        FailureType.NO_ENDPOINT, assertInstanceOf(RouteDecision.Refuse.class, none).type());
  }

  // Half of all requests suddenly use one adapter. With a single replica they would queue there
  // while the other endpoints are idle.
  @Test
  void popularAdapterGetsAnotherReplicaOnceQueueingCostsMoreThanLoading() {
    Router router = router(6);
    EndpointId resident = chosen(router, ADAPTER, 0);
    router.loadReported(resident, load(BATCH, 0, 400, Set.of(ADAPTER)), 10);
    assertEquals(resident, chosen(router, ADAPTER, 20));
    router.loadReported(resident, load(BATCH, 30, 4_000, Set.of(ADAPTER)), 30);
    assertNotEquals(resident, chosen(router, ADAPTER, 40));
  }

  // With a high weight for load stalls a request queues where its adapter is resident; with a low
  // one
  // it goes to an endpoint that has to load the adapter.
  @Test
  void serviceWeightsDecideBetweenQueueingAndLoading() {
    Router router = router(6);
    EndpointId resident = chosen(router, ADAPTER, 0);
    router.loadReported(resident, load(BATCH, 4, 1_150, Set.of(ADAPTER)), 10);
    RouteRequest stallTolerant = request(ADAPTER, Set.of(), new CostWeights(0, 1));
    RouteRequest stallAverse = request(ADAPTER, Set.of(), new CostWeights(1, 0));
    assertNotEquals(resident, sendTo(router.route(stallTolerant, 20)));
    assertEquals(resident, sendTo(router.route(stallAverse, 20)));
  }

  // Guards against a burst between two reports that goes entirely to the endpoint with the lowest
  // reported load.
  @Test
  void burstBetweenTwoReportsIsSpread() {
    Router router = router(4);
    Map<EndpointId, Integer> sent = new HashMap<>();
    for (int i = 0; i < 4; i++) {
      router.loadReported(endpoint(i), load(0, 0, 0, Set.of(ADAPTER)), 0);
    }
    for (int i = 0; i < 4 * BATCH; i++) {
      EndpointId to = chosen(router, ADAPTER, 1);
      router.attemptStarted(to, ADAPTER, 1);
      sent.merge(to, 1, Integer::sum);
    }
    assertEquals(4, sent.size());
    assertTrue(sent.values().stream().allMatch(count -> count <= BATCH + 1), sent::toString);
  }

  // All engines restart at once and no adapter is resident. If each request went to the shortest
  // queue, every endpoint would load the adapter and the weight store would be overloaded for
  // minutes.
  @Test
  void requestsForOneAdapterFollowTheFirstAfterRestart() {
    Router router = router(6);
    for (int i = 0; i < 6; i++) {
      router.loadReported(endpoint(i), load(0, 0, 0, Set.of()), 0);
    }
    Set<EndpointId> used = new HashSet<>();
    for (int i = 0; i < BATCH; i++) {
      EndpointId to = chosen(router, ADAPTER, i);
      router.attemptStarted(to, ADAPTER, i);
      used.add(to);
    }
    assertEquals(1, used.size());
  }

  @Test
  void ownAvailabilityZoneIsPreferredUntilItsWaitExceedsTheRoundTrip() {
    Router router = new Router(MARKA);
    EndpointId near = new EndpointId("near");
    EndpointId far = new EndpointId("far");
    router.endpointJoined(near, MARKA, POOL, 0);
    router.endpointJoined(far, SAHAB, POOL, 0);
    router.loadReported(near, load(BATCH, 0, 2, Set.of(ADAPTER)), 0);
    router.loadReported(far, load(0, 0, 0, Set.of(ADAPTER)), 0);
    assertEquals(near, chosen(router, ADAPTER, 0));
    router.loadReported(near, load(BATCH, 0, 20, Set.of(ADAPTER)), 0);
    assertEquals(far, chosen(router, ADAPTER, 0));
  }

  // One of six endpoints takes five times as long per token but passes every health check. Guards
  // against callers that miss their deadlines as long as this lasts.
  @Test
  void slowEndpointIsEjectedAndReadmittedAfterOneGoodProbe() {
    Router router = router(6);
    warmUp(router, 0);
    for (int i = 0; i < 40; i++) {
      runAttempt(router, endpoint(0), answered(125), 100 + i);
    }
    assertEquals(0, countAttempts(router, endpoint(0), 200));
    assertEquals(1, countAttempts(router, endpoint(0), 60_000));
    router.attemptEnded(endpoint(0), ADAPTER, answered(25), 61_000);
    assertTrue(countAttempts(router, endpoint(0), 62_000) > 1);
  }

  // Guards against ejecting all endpoints when a common cause slows them all.
  @Test
  void slowdownOfAllEndpointsEjectsNone() {
    Router router = router(6);
    warmUp(router, 0);
    for (int i = 0; i < 240; i++) {
      runAttempt(router, endpoint(i % 6), answered(125), 1_000 + i);
    }
    for (int i = 0; i < 6; i++) {
      assertTrue(countAttempts(router, endpoint(i), 2_000) > 0, "endpoint " + i);
    }
  }

  // Two of six endpoints fail every attempt. Only one may be ejected, because ejecting more than a
  // fifth of the pool could cost more capacity than the failures do.
  @Test
  void atMostFifthOfThePoolIsEjected() {
    Router router = router(6);
    warmUp(router, 0);
    for (int i = 0; i < 40; i++) {
      runAttempt(router, endpoint(i % 2), new AttemptResult.Failed(), 100 + i);
    }
    int out = 0;
    for (int i = 0; i < 6; i++) {
      out += countAttempts(router, endpoint(i), 200) == 0 ? 1 : 0;
    }
    assertEquals(1, out);
  }

  // An endpoint completes no response before its deadline. Measured by complete responses alone it
  // would look unused and would never be ejected.
  @Test
  void endpointWithoutCompleteResponsesIsEjectedByProgress() {
    Router router = router(6);
    warmUp(router, 0);
    for (int i = 0; i < 40; i++) {
      router.progressReported(endpoint(0), 5_000, 10, 100 + i);
    }
    assertEquals(0, countAttempts(router, endpoint(0), 200));
  }

  @Test
  void plainServiceRequestsAreSpreadByLoad() {
    Router router = router(3);
    Set<EndpointId> used = new HashSet<>();
    for (int i = 0; i < 3; i++) {
      router.loadReported(endpoint(i), new EndpointLoad(0, 0, 1, 0, 0, 0, Set.of()), 0);
    }
    for (int i = 0; i < 3; i++) {
      RouteRequest call =
          new RouteRequest(POOL, Optional.empty(), 0, new CostWeights(1, 1), Set.of(), 1_000);
      EndpointId to = sendTo(router.route(call, 0));
      router.attemptStarted(to, null, 0);
      used.add(to);
    }
    assertEquals(3, used.size());
  }

  @Test
  void batchCapacityIsThatOfLiveEndpoints() {
    Router router = router(3);
    warmUp(router, 0);
    assertEquals(3 * BATCH, router.batchCapacity(POOL));
    router.endpointLeft(endpoint(0), 0);
    assertEquals(2 * BATCH, router.batchCapacity(POOL));
  }

  private static Router router(int endpoints) {
    Router router = new Router(MARKA);
    for (int i = 0; i < endpoints; i++) {
      router.endpointJoined(endpoint(i), MARKA, POOL, 0);
    }
    return router;
  }

  /** Makes the adapter resident everywhere and records some responses at 25 ms per token. */
  private static void warmUp(Router router, long now) {
    for (int i = 0; i < 6; i++) {
      router.loadReported(endpoint(i), load(0, 0, 0, Set.of(ADAPTER)), now);
      for (int sample = 0; sample < 10; sample++) {
        runAttempt(router, endpoint(i), answered(25), now);
      }
    }
  }

  private static void runAttempt(Router router, EndpointId id, AttemptResult result, long now) {
    router.attemptStarted(id, ADAPTER, now);
    router.attemptEnded(id, ADAPTER, result, now);
  }

  /**
   * Returns how many of 48 attempts an endpoint gets. The attempts are cancelled afterwards, except
   * a single one to that endpoint, which remains in flight as its probe.
   */
  private static int countAttempts(Router router, EndpointId id, long now) {
    Map<EndpointId, Integer> sent = new HashMap<>();
    for (int i = 0; i < 6 * BATCH; i++) {
      EndpointId to = chosen(router, ADAPTER, now);
      router.attemptStarted(to, ADAPTER, now);
      sent.merge(to, 1, Integer::sum);
    }
    int attempts = sent.getOrDefault(id, 0);
    sent.forEach(
        (to, count) -> {
          for (int i = 0; i < count; i++) {
            if (!(attempts == 1 && to.equals(id))) {
              router.attemptEnded(to, ADAPTER, new AttemptResult.Cancelled(), now);
            }
          }
        });
    return attempts;
  }

  private static AttemptResult answered(int millisPerToken) {
    return new AttemptResult.Completed(100, 100 + 100L * millisPerToken, 0, 100);
  }

  private static EndpointLoad load(int running, int queued, long wait, Set<AdapterRef> resident) {
    return new EndpointLoad(running, queued, BATCH, 8, wait, 500, resident);
  }

  private static EndpointId endpoint(int number) {
    return new EndpointId("lm-dispatch-" + number);
  }

  private static EndpointId chosen(Router router, AdapterRef adapter, long now) {
    return sendTo(router.route(request(adapter, Set.of()), now));
  }

  private static EndpointId sendTo(RouteDecision decision) {
    return assertInstanceOf(RouteDecision.SendTo.class, decision).endpoint();
  }

  private static RouteRequest request(AdapterRef adapter, Set<EndpointId> excluded) {
    return request(adapter, excluded, new CostWeights(1, 1));
  }

  private static RouteRequest request(
      AdapterRef adapter, Set<EndpointId> excluded, CostWeights weights) {
    return new RouteRequest(POOL, Optional.of(adapter), 0, weights, excluded, 10_000);
  }
}
