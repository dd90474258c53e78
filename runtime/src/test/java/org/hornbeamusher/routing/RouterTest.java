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
  void coldAdapterGoesToOnePlaceFromEveryEntry() {
    Router one = router(6);
    Router other = router(6);
    for (int i = 0; i < 50; i++) {
      AdapterRef adapter = AdapterRef.parse("lm-dispatch/adapter-" + i + "@1");
      assertEquals(chosen(one, adapter, 0), chosen(other, adapter, 0));
    }
  }

  @Test
  void homeNamedByReportIsPreferred() {
    Router router = router(6);
    EndpointId first = chosen(router, ADAPTER, 0);
    EndpointId home = endpoint(first.equals(endpoint(0)) ? 1 : 0);
    router.loadReported(home, load(0, 0, 0, Set.of(ADAPTER)), 10);
    assertEquals(home, chosen(router, ADAPTER, 20));
  }

  // An adapter is evicted and the next report says so. If the old report still counted, requests
  // would go on to a place that has to load the adapter again.
  @Test
  void homeThatTheNextReportNoLongerNamesIsForgotten() {
    Router router = router(6);
    EndpointId first = chosen(router, ADAPTER, 0);
    EndpointId home = endpoint(first.equals(endpoint(0)) ? 1 : 0);
    router.loadReported(home, load(0, 0, 0, Set.of(ADAPTER)), 10);
    router.loadReported(home, load(0, 0, 0, Set.of()), 20);
    assertEquals(first, chosen(router, ADAPTER, 30));
  }

  // An endpoint is told to drain while requests of this entry still run there and wait for a load
  // there. A request sent to it now would be refused or cut off.
  @Test
  void leavingEndpointGetsNothingThoughItsAdapterIsResidentAndLoading() {
    Router router = router(3);
    EndpointId home = chosen(router, ADAPTER, 0);
    router.attemptStarted(home, ADAPTER, 0);
    router.loadReported(home, load(1, 0, 0, Set.of(ADAPTER)), 10);
    router.endpointLeft(home, 20);
    router.loadReported(home, load(0, 0, 0, Set.of(ADAPTER)), 30);
    for (int i = 0; i < 20; i++) {
      assertNotEquals(home, chosen(router, ADAPTER, 40 + i));
    }
  }

  @Test
  void excludedEndpointGetsNothing() {
    Router router = router(2);
    EndpointId home = chosen(router, ADAPTER, 0);
    EndpointId other = sendTo(router.route(request(ADAPTER, Set.of(home)), 0));
    assertNotEquals(home, other);
    RouteDecision none = router.route(request(ADAPTER, Set.of(home, other)), 0);
    assertEquals(
        FailureType.NO_ENDPOINT, assertInstanceOf(RouteDecision.Refuse.class, none).type());
  }

  // Half of all requests suddenly name one adapter. With a single home its callers would queue
  // there while the other endpoints idle.
  @Test
  void hotAdapterGetsAnotherHomeOnceQueueingCostsMoreThanLoading() {
    Router router = router(6);
    EndpointId home = chosen(router, ADAPTER, 0);
    router.loadReported(home, load(BATCH, 0, 400, Set.of(ADAPTER)), 10);
    assertEquals(home, chosen(router, ADAPTER, 20));
    router.loadReported(home, load(BATCH, 30, 4_000, Set.of(ADAPTER)), 30);
    assertNotEquals(home, chosen(router, ADAPTER, 40));
  }

  // A service that minds load stalls waits in a queue in which the other would already have gone
  // to load the adapter elsewhere.
  @Test
  void weightsOfTheServiceDecideBetweenQueueAndLoad() {
    Router router = router(6);
    EndpointId home = chosen(router, ADAPTER, 0);
    router.loadReported(home, load(BATCH, 4, 1_150, Set.of(ADAPTER)), 10);
    RouteRequest patient = request(ADAPTER, Set.of(), new CostWeights(0, 1));
    RouteRequest hurried = request(ADAPTER, Set.of(), new CostWeights(1, 0));
    assertNotEquals(home, sendTo(router.route(patient, 20)));
    assertEquals(home, sendTo(router.route(hurried, 20)));
  }

  // A burst arrives between two reports. If each request saw only the last report, all of them
  // would go to the endpoint that was emptiest then.
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

  // All engines restart at once and nothing is resident. Were each request for an adapter sent
  // where the queue is shortest, every endpoint would load it, and the weight store would be busy
  // for minutes.
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
  void ownAvailabilityZoneIsPreferredUntilTheWaitThereCostsMoreThanTheHop() {
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

  // One of six endpoints generates tokens five times slower and passes every health check. Its
  // callers would miss their deadlines for as long as that lasts.
  @Test
  void slowEndpointIsEjectedAndTakenBackAfterOneGoodTest() {
    Router router = router(6);
    warm(router, 0);
    for (int i = 0; i < 40; i++) {
      run(router, endpoint(0), answered(125), 100 + i);
    }
    assertEquals(0, uses(router, endpoint(0), 200));
    assertEquals(1, uses(router, endpoint(0), 60_000));
    router.attemptEnded(endpoint(0), ADAPTER, answered(25), 61_000);
    assertTrue(uses(router, endpoint(0), 62_000) > 1);
  }

  // A shared cause slows every endpoint. Ejecting them all would leave nothing to serve with.
  @Test
  void slowDownOfAllEjectsNone() {
    Router router = router(6);
    warm(router, 0);
    for (int i = 0; i < 240; i++) {
      run(router, endpoint(i % 6), answered(125), 1_000 + i);
    }
    for (int i = 0; i < 6; i++) {
      assertTrue(uses(router, endpoint(i), 2_000) > 0, "endpoint " + i);
    }
  }

  // Two of six endpoints fail every attempt. The bound on ejections keeps one of them in, because
  // taking out more than a fifth could cost more capacity than the failures do.
  @Test
  void atMostOneInFiveIsEjected() {
    Router router = router(6);
    warm(router, 0);
    for (int i = 0; i < 40; i++) {
      run(router, endpoint(i % 2), new AttemptResult.Failed(), 100 + i);
    }
    int out = 0;
    for (int i = 0; i < 6; i++) {
      out += uses(router, endpoint(i), 200) == 0 ? 1 : 0;
    }
    assertEquals(1, out);
  }

  // An endpoint is so slow that none of its answers is whole before its deadline. Measured by whole
  // answers alone it would look as if it had never been used.
  @Test
  void endpointWhoseAnswersNeverEndIsEjectedByTheirProgress() {
    Router router = router(6);
    warm(router, 0);
    for (int i = 0; i < 40; i++) {
      router.progressReported(endpoint(0), 5_000, 10, 100 + i);
    }
    assertEquals(0, uses(router, endpoint(0), 200));
  }

  @Test
  void plainServiceIsSpreadByLoad() {
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
  void placesAreThoseOfLiveEndpoints() {
    Router router = router(3);
    warm(router, 0);
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

  /** Makes the adapter resident everywhere, with some answers at 25 ms a token. */
  private static void warm(Router router, long now) {
    for (int i = 0; i < 6; i++) {
      router.loadReported(endpoint(i), load(0, 0, 0, Set.of(ADAPTER)), now);
      for (int sample = 0; sample < 10; sample++) {
        run(router, endpoint(i), answered(25), now);
      }
    }
  }

  private static void run(Router router, EndpointId id, AttemptResult result, long now) {
    router.attemptStarted(id, ADAPTER, now);
    router.attemptEnded(id, ADAPTER, result, now);
  }

  /** How many of 48 attempts an endpoint gets; they are taken back afterwards. */
  private static int uses(Router router, EndpointId id, long now) {
    Map<EndpointId, Integer> sent = new HashMap<>();
    for (int i = 0; i < 6 * BATCH; i++) {
      EndpointId to = chosen(router, ADAPTER, now);
      router.attemptStarted(to, ADAPTER, now);
      sent.merge(to, 1, Integer::sum);
    }
    int uses = sent.getOrDefault(id, 0);
    sent.forEach(
        (to, count) -> {
          for (int i = 0; i < count; i++) {
            if (!(uses == 1 && to.equals(id))) {
              router.attemptEnded(to, ADAPTER, new AttemptResult.Cancelled(), now);
            }
          }
        });
    return uses;
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
