package org.hornbeamusher.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hornbeamusher.availability.EndpointAvailability;
import org.hornbeamusher.availability.RetryAfter;
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.holdings.LoadCosts;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.routes.AdapterKey;
import org.junit.jupiter.api.Test;

class PlacerTest {

  private static final long LOAD_MILLIS = 250;
  private static final long OVERDUE_MILLIS = Placement.Assigned.OVERDUE_LOAD_MILLIS;

  /** A load and its wait for the weight store. */
  private static final long CONGESTED_LOAD_MILLIS = 900;

  private static final int ADAPTER_SLOTS = 7;
  private static final int ENGINE_SLOTS = 64;
  private static final int PLAIN_SLOTS = 4;
  private static final AdapterVersion BASE = new AdapterVersion(new AdapterKey("m", ""), 1);
  private static final AdapterVersion HOT = new AdapterVersion(new AdapterKey("m", "hot"), 1);
  private static final AdapterVersion COLD = new AdapterVersion(new AdapterKey("m", "cold"), 1);

  private final Placer placer = new Placer(PlacementSettings.DEFAULT, "a");

  @Test
  void adapterIsServedWhereItIsHeld() {
    engine("e1", "b", Set.of(HOT));
    engine("e2", "a", Set.of());
    Placement.Assigned at = place(HOT, 800);
    assertEquals("e1", at.endpoint().id().value());
    assertTrue(at.canStartNow());
  }

  /**
   * Guards against a queue of long prompts at the only engine with their adapter while other
   * engines are idle. Once the queue costs more than a load, a second engine must get the adapter.
   */
  @Test
  void hotAdapterGetsSecondHomeWhenItsQueueCostsMoreThanLoad() {
    engine("e1", "a", Set.of(HOT));
    engine("e2", "a", Set.of());
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 6; i++) {
      Placement.Assigned at = place(HOT, 9_190);
      at.endpoint().requestStarted(request(HOT, 9_190), 0);
      used.add(at.endpoint().id().value());
      if (i == 0) {
        assertEquals(Set.of("e1"), used);
      }
    }
    assertEquals(Set.of("e1", "e2"), used);
  }

  /**
   * Guards against placing a cold adapter at an engine whose adapter slots are all used by running
   * requests. It would wait there for seconds, while another engine has a free slot.
   */
  @Test
  void coldAdapterGoesWherePlaceIsFree() {
    engine("e1", "a", Set.of()).reportedLoad(0, 0, -3);
    engine("e2", "a", Set.of()).reportedLoad(3, 0, 1);
    Placement.Assigned at = place(COLD, 800);
    assertEquals("e2", at.endpoint().id().value());
  }

  /**
   * Guards against requests placed at a crashed engine. Its agent reports the crash at once, but
   * the list contains the engine for three more seconds. Requests sent there would be refused, and
   * those that need a load would wait for it until they time out, although other engines work.
   */
  @Test
  void engineThatItsAgentHasLostGetsNothing() {
    EndpointView crashed = engine("e1", "a", Set.of(HOT));
    engine("e2", "b", Set.of());
    crashed.markEndedByAgent();
    assertEquals("e2", place(HOT, 800).endpoint().id().value());
    assertEquals("e2", place(COLD, 800).endpoint().id().value());
  }

  /**
   * Guards against losing an engine for good after its agent, which got no CPU time for a while,
   * has reported it as ended by mistake. With the next report the engine must be used again.
   */
  @Test
  void engineThatItsAgentSeesAgainIsUsedAgain() {
    EndpointView engine = engine("e1", "a", Set.of(HOT));
    engine.markEndedByAgent();
    assertInstanceOf(
        Placement.Unplaceable.class, placer.place("llm", request(HOT, 1), Set.of(), 0));
    engine.updateFromAgent(Set.of(BASE, HOT), Set.of(), false);
    assertEquals("e1", place(HOT, 800).endpoint().id().value());
  }

  /**
   * Guards against a burst of cold adapters placed on one free slot. Two engines have a free slot
   * each. If an entry did not count its own requested slots before the agents report them, it would
   * place three adapters at one engine, where two of them wait for seconds.
   */
  @Test
  void burstOfColdAdaptersIsSpreadBeforeAgentsReportIt() {
    engine("e1", "a", Set.of()).reportedLoad(0, 0, 1);
    engine("e2", "a", Set.of()).reportedLoad(0, 0, 1);
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 2; i++) {
      AdapterVersion rare = new AdapterVersion(new AdapterKey("m", "rare" + i), 1);
      Placement.Assigned at = place(rare, 800);
      assertTrue(at.canLoadNow());
      at.endpoint().requestStarted(request(rare, 800), 0);
      used.add(at.endpoint().id().value());
    }
    assertEquals(Set.of("e1", "e2"), used);
    assertFalse(place(COLD, 800).canLoadNow());
  }

  /**
   * Guards against equal shares of prompts for a slow engine. One of two engines processes prompts
   * at a third of its nominal speed and passes its health check. Its first events would be late
   * while the other engine has capacity.
   */
  @Test
  void slowEngineGetsFewerPrompts() {
    EndpointView slow = engine("e1", "a", Set.of(HOT));
    EndpointView normal = engine("e2", "a", Set.of(HOT));
    for (int i = 0; i < 40; i++) {
      placer.recordFirstEventTime(slow, 8_800, 600);
      placer.recordFirstEventTime(normal, 8_800, 200);
    }
    int sentToSlow = 0;
    for (int i = 0; i < 8; i++) {
      EndpointView chosen = place(HOT, 1_000).endpoint();
      chosen.requestStarted(request(HOT, 1_000), 0);
      sentToSlow += chosen == slow ? 1 : 0;
    }
    assertEquals(2, sentToSlow);
  }

  /**
   * Guards against long prompts at an engine with many running requests. Processing the prompt
   * delays each of them, so that their adapters occupy their slots for longer; a short prompt
   * hardly does.
   */
  @Test
  void longPromptAvoidsEngineWithManyRuns() {
    engine("e1", "a", Set.of(HOT)).reportedLoad(10, 0, 1);
    EndpointView idle = engine("e2", "a", Set.of(HOT));
    idle.requestStarted(request(HOT, 8_800), 0);
    assertEquals("e2", place(HOT, 8_800).endpoint().id().value());
    assertEquals("e1", place(HOT, 100).endpoint().id().value());
  }

  /** A single slow first event must not mark an engine as slow; the factor is never below 1. */
  @Test
  void slowdownIsNotSetByOneResponseAndNeverBelowOne() {
    EndpointHealth health = new EndpointHealth();
    health.recordPromptTime(200, 800);
    assertTrue(health.slowdown() < 1.2);
    for (int i = 0; i < 100; i++) {
      health.recordPromptTime(200, 20);
    }
    assertEquals(1, health.slowdown());
  }

  /** A requested slot must not be counted twice once the agent's reports contain it. */
  @Test
  void requestedSlotIsCountedUntilAgentReportsIt() {
    EndpointView engine = engine("e1", "a", Set.of());
    engine.reportedLoad(0, 0, 1);
    engine.requestStarted(request(COLD, 800), 0);
    assertEquals(0, engine.freeAdapterSlots(89));
    assertEquals(1, engine.freeAdapterSlots(90));
  }

  /**
   * Guards against requests that move from engine to engine during a burst of cold adapters. The
   * known numbers of free slots are 100 ms old, so each engine seems to have one. Requests that
   * followed them left their queue before their load was done each time, and were refused in the
   * end with all engines idle.
   */
  @Test
  void requestStaysInQueueUntilItsLoadIsOverdue() {
    engine("e1", "a", Set.of()).reportedLoad(0, 0, 1);
    Placement.Assigned free = place(COLD, 800);
    assertFalse(free.justifiesMove(100, OVERDUE_MILLIS, LOAD_MILLIS));
    assertTrue(free.justifiesMove(450, OVERDUE_MILLIS, LOAD_MILLIS));
    assertFalse(free.justifiesMove(450, OVERDUE_MILLIS, CONGESTED_LOAD_MILLIS));
    assertTrue(free.justifiesMove(1_000, OVERDUE_MILLIS, CONGESTED_LOAD_MILLIS));
  }

  /**
   * Guards against requests that move between engines after a restart of all of them. Every engine
   * has free slots and none its base model, which takes a second to load. Requests that left their
   * queue for a free slot elsewhere started to wait again each time, and adapters were loaded at
   * two or three engines for one request.
   */
  @Test
  void requestStaysInQueueWhileNoEngineHasItsModel() {
    EndpointView engine = engine("e1", "a", Set.of());
    engine.updateFromAgent(Set.of(), Set.of(), false);
    engine.reportedLoad(0, 0, 4);
    assertFalse(place(COLD, 800).justifiesMove(450, OVERDUE_MILLIS, LOAD_MILLIS));
  }

  @Test
  void requestLeavesItsQueueForEngineThatHoldsItsAdapter() {
    engine("e1", "a", Set.of(HOT));
    assertTrue(place(HOT, 800).justifiesMove(0, OVERDUE_MILLIS, LOAD_MILLIS));
  }

  @Test
  void evictedAdapterIsLoadedAgainWhereItsCopyIs() {
    EndpointView first = engine("e1", "a", Set.of(COLD));
    engine("e2", "a", Set.of());
    first.updateFromAgent(Set.of(BASE), Set.of(), false);
    assertEquals("e1", place(COLD, 800).endpoint().id().value());
  }

  /**
   * Guards against fetching an adapter again although an engine has a copy and soon a free slot. An
   * engine with fourteen slots, each taken for half a second, has a free one every 36 ms. With an
   * assumed wait of 250 ms its callers were sent to another engine, which fetched the adapter from
   * the weight store.
   */
  @Test
  void requestWaitsAtEngineWithCopyWhenSlotIsFreeSoon() {
    EndpointView first = engine("e1", "a", Set.of(COLD));
    EndpointView other = engine("e2", "a", Set.of());
    first.updateFromAgent(Set.of(BASE), Set.of(), false);
    first.reportedLoad(0, 0, -1);
    other.reportedLoad(0, 0, 1);
    first.reportedCosts(new LoadCosts(250, 25, 250, 84));
    assertEquals("e2", place(COLD, 800).endpoint().id().value());
    first.reportedCosts(new LoadCosts(250, 25, 36, 84));
    assertEquals("e1", place(COLD, 800).endpoint().id().value());
  }

  /**
   * Guards against a cost that ignores the wait for request slots. All slots of a hot adapter's
   * engine are taken and twenty requests wait there for runs to end. Counted only as twenty running
   * requests, that engine would still be the cheapest, although a second one could have loaded the
   * adapter meanwhile.
   */
  @Test
  void engineWithoutFreeSlotIsSkippedForOneThatCanLoad() {
    EndpointView hot = engine("e1", "a", Set.of(HOT));
    engine("e2", "a", Set.of());
    hot.updateFromList(endpoint("e1", "llm", "a", 4), 0);
    hot.reportedLoad(4, 0, 1);
    assertEquals("e1", place(HOT, 800).endpoint().id().value());
    hot.reportedLoad(24, 0, 1);
    assertEquals("e2", place(HOT, 800).endpoint().id().value());
  }

  /** An adapter counts as copied only within the number of copies that the agent reports. */
  @Test
  void numberOfCopiesIsAsReportedByAgent() {
    EndpointView engine = engine("e1", "a", Set.of(COLD));
    engine.updateFromAgent(Set.of(BASE, HOT), Set.of(), false);
    engine.updateFromAgent(Set.of(BASE), Set.of(), false);
    engine.reportedCosts(new LoadCosts(250, 25, 36, 2));
    assertTrue(engine.hasCopy(COLD));
    engine.reportedCosts(new LoadCosts(250, 25, 36, 1));
    assertFalse(engine.hasCopy(COLD));
    assertTrue(engine.hasCopy(HOT));
  }

  /** Entries must not load a cold adapter at two engines at once, without any coordination. */
  @Test
  void entriesAgreeOnEngineForColdAdapter() {
    Placer other = new Placer(PlacementSettings.DEFAULT, "a");
    for (String id : List.of("e1", "e2", "e3")) {
      engine(id, "a", Set.of());
    }
    for (String id : List.of("e3", "e1", "e2")) {
      add(other, id, "a", Set.of());
    }
    Placement placement = other.place("llm", request(COLD, 800), Set.of(), 0);
    assertEquals(
        place(COLD, 800).endpoint().id(), ((Placement.Assigned) placement).endpoint().id());
  }

  @Test
  void leavingEndpointGetsNothing() {
    engine("e1", "a", Set.of(HOT)).updateFromAgent(Set.of(BASE, HOT), Set.of(), true);
    assertEquals(
        new Placement.Unplaceable(Placement.Reason.NO_ENDPOINT),
        placer.place("llm", request(HOT, 800), Set.of(), 0));
  }

  @Test
  void triedEndpointIsNotTriedAgain() {
    engine("e1", "a", Set.of(HOT));
    assertEquals(
        new Placement.Unplaceable(Placement.Reason.ALL_TRIED),
        placer.place("llm", request(HOT, 800), Set.of(incarnation("e1")), 0));
  }

  /**
   * Guards against further requests to an endpoint that fails while its health check passes. Others
   * must take its requests, and after a while it must be tried again.
   */
  @Test
  void failingEndpointIsAvoidedForSomeTime() {
    plain("p1", "a");
    plain("p2", "b");
    assertEquals("p1", plainPlace(0));
    placer.views().get(new EndpointId("p1")).failed(0);
    assertEquals("p2", plainPlace(10));
    assertEquals("p1", plainPlace(60_000));
  }

  @Test
  void busyPlainEndpointIsAvoided() {
    EndpointView near = plain("p1", "a");
    plain("p2", "b");
    near.succeeded(40);
    placer.views().get(new EndpointId("p2")).succeeded(40);
    for (int i = 0; i < 12; i++) {
      near.requestStarted(plainRequest(), 0);
    }
    assertEquals("p2", plainPlace(0));
  }

  @Test
  void longPromptStaysInItsZoneAndShortOneCrossesSooner() {
    EndpointView near = engine("e1", "a", Set.of(HOT));
    engine("e2", "b", Set.of(HOT));
    near.reportedLoad(0, 900, 1);
    assertEquals("e1", placeBytes(18_000).endpoint().id().value());
    assertEquals("e2", placeBytes(1_000).endpoint().id().value());
  }

  @Test
  void cachedPromptPartsAreNotCounted() {
    EndpointView first = engine("e1", "a", Set.of(HOT));
    PlacementRequest request =
        new PlacementRequest(
            1, Optional.of(HOT), 3_000, 10, 0, List.of(new PromptPart("p", 2_500)));
    assertEquals(3_000, first.uncachedTokens(request));
    first.requestStarted(request, 0);
    assertEquals(500, first.uncachedTokens(request));
  }

  @Test
  void engineWithoutAgentIsLastResortForAdapterItDoesNotHold() {
    engine("e1", "a", Set.of()).agentLost();
    engine("e2", "b", Set.of());
    assertEquals("e2", place(COLD, 800).endpoint().id().value());
    assertFalse(place(COLD, 800).canStartNow());
  }

  @Test
  void requestIsNotPlacedAtServiceWithoutEndpoints() {
    assertInstanceOf(
        Placement.Unplaceable.class, placer.place("other", plainRequest(), Set.of(), 0));
  }

  @Test
  void requestsOfDifferentHashSpreadOverEqualEndpoints() {
    for (int i = 0; i < 3; i++) {
      plain("p" + i, "a");
    }
    Set<String> used = new HashSet<>();
    for (int hash = 0; hash < 50; hash++) {
      Placement placed =
          placer.place(
              "plain",
              new PlacementRequest(hash * 7_919L, Optional.empty(), 0, 0, 0, List.of()),
              Set.of(),
              0);
      used.add(((Placement.Assigned) placed).endpoint().id().value());
    }
    assertNotEquals(1, used.size());
  }

  private Placement.Assigned place(AdapterVersion adapter, int tokens) {
    return (Placement.Assigned) placer.place("llm", request(adapter, tokens), Set.of(), 0);
  }

  private Placement.Assigned placeBytes(int bytes) {
    PlacementRequest request = new PlacementRequest(1, Optional.of(HOT), 800, 10, bytes, List.of());
    return (Placement.Assigned) placer.place("llm", request, Set.of(), 0);
  }

  /** Guards against an endpoint that attracts every request because it refuses all and is idle. */
  @Test
  void endpointInBackOffIsNotChosenBeforeItsEnd() {
    EndpointView idle = plain("p1", "a");
    EndpointView busy = plain("p2", "b");
    for (int i = 0; i < 50; i++) {
      busy.requestStarted(plainRequest(), 0);
    }
    idle.availability().recordRetryAfter(new RetryAfter.Millis(500), 0);
    assertEquals("p2", plainPlace(499));
    assertEquals("p1", plainPlace(500));
  }

  /** Guards against a full share of requests for an endpoint in the slow phase after its start. */
  @Test
  void endpointThatHasJustStartedIsChosenAfterOthersUntilItIsWarm() {
    EndpointView started = plain("p1", "a");
    plain("p2", "b");
    started.updateFromList(
        new Endpoint(
            started.incarnation(),
            "plain",
            URI.create("http://10.0.0.1:1"),
            "a",
            2,
            false,
            600,
            Set.of()),
        0);
    assertEquals("p2", plainPlace(599));
    assertEquals("p1", plainPlace(600));
  }

  @Test
  void shortestBackOffIsReportedWhenAllEndpointsBackOff() {
    EndpointView first = plain("p1", "a");
    first.availability().recordRetryAfter(new RetryAfter.Millis(500), 0);
    plain("p2", "b").availability().recordRetryAfter(new RetryAfter.Millis(300), 0);
    assertEquals(
        new Placement.Unplaceable(Placement.Reason.ALL_BACK_OFF, 200),
        placer.place("plain", plainRequest(), Set.of(first.incarnation()), 100));
  }

  private String plainPlace(long now) {
    Placement placed = placer.place("plain", plainRequest(), Set.of(), now);
    return ((Placement.Assigned) placed).endpoint().id().value();
  }

  private static PlacementRequest request(AdapterVersion adapter, int tokens) {
    return new PlacementRequest(1, Optional.of(adapter), tokens, 10, 0, List.of());
  }

  private static PlacementRequest plainRequest() {
    return new PlacementRequest(1, Optional.empty(), 0, 0, 0, List.of());
  }

  private EndpointView engine(String id, String zone, Set<AdapterVersion> held) {
    return add(placer, id, zone, held);
  }

  private static EndpointView add(Placer placer, String id, String zone, Set<AdapterVersion> held) {
    Set<AdapterVersion> all = new HashSet<>(held);
    all.add(BASE);
    EndpointView view =
        new EndpointView(
            endpoint(id, "llm", zone, ENGINE_SLOTS),
            100_000,
            ADAPTER_SLOTS,
            new EndpointAvailability());
    view.updateFromAgent(all, Set.of(), false);
    placer.views().put(view.id(), view);
    return view;
  }

  private EndpointView plain(String id, String zone) {
    EndpointView view =
        new EndpointView(
            endpoint(id, "plain", zone, PLAIN_SLOTS), 0, 0, new EndpointAvailability());
    placer.views().put(view.id(), view);
    return view;
  }

  private static Endpoint endpoint(String id, String service, String zone, int slots) {
    return new Endpoint(
        incarnation(id), service, URI.create("http://10.0.0.1:1"), zone, slots, false, 0, Set.of());
  }

  private static EndpointIncarnation incarnation(String id) {
    return new EndpointIncarnation(new EndpointId(id), EndpointIncarnation.UNKNOWN_START);
  }
}
