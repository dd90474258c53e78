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
import org.hornbeamusher.availability.StatedRetryAfter;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.directory.HeldAdapter;
import org.hornbeamusher.holdings.LoadCosts;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointLife;
import org.hornbeamusher.routes.AdapterKey;
import org.junit.jupiter.api.Test;

class PlacerTest {

  private static final int PLACES = 7;
  private static final int ENGINE_SLOTS = 64;
  private static final int PLAIN_SLOTS = 4;
  private static final HeldAdapter BASE = new HeldAdapter(new AdapterKey("m", ""), 1);
  private static final HeldAdapter HOT = new HeldAdapter(new AdapterKey("m", "hot"), 1);
  private static final HeldAdapter COLD = new HeldAdapter(new AdapterKey("m", "cold"), 1);

  private final Placer placer = new Placer(PlacementSettings.DEFAULT, "a");

  @Test
  void adapterIsServedWhereItIsHeld() {
    engine("e1", "b", Set.of(HOT));
    engine("e2", "a", Set.of());
    Placement.At at = place(HOT, 800);
    assertEquals("e1", at.endpoint().id().value());
    assertTrue(at.present());
  }

  /**
   * A burst of long prompts on one adapter. Sent to its only home, each would wait behind the ones
   * before it while other engines are idle; past the cost of a load it gets a second home.
   */
  @Test
  void hotAdapterGetsSecondHomeWhenItsQueueCostsMoreThanLoad() {
    engine("e1", "a", Set.of(HOT));
    engine("e2", "a", Set.of());
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 6; i++) {
      Placement.At at = place(HOT, 9_190);
      at.endpoint().started(request(HOT, 9_190), 0);
      used.add(at.endpoint().id().value());
      if (i == 0) {
        assertEquals(Set.of("e1"), used);
      }
    }
    assertEquals(Set.of("e1", "e2"), used);
  }

  /**
   * All places of one engine are held by running requests. A cold adapter sent there would wait for
   * seconds until one ends, while another engine has a place.
   */
  @Test
  void coldAdapterGoesWherePlaceIsFree() {
    engine("e1", "a", Set.of()).reportedLoad(0, 0, -3);
    engine("e2", "a", Set.of()).reportedLoad(3, 0, 1);
    Placement.At at = place(COLD, 800);
    assertEquals("e2", at.endpoint().id().value());
  }

  /**
   * An engine crashes; its agent says so at once, the list names it for three seconds more. Placed
   * there, requests were refused one after the other and those without their adapter waited for a
   * load that nobody would order, until they were out of time with five engines working.
   */
  @Test
  void engineThatItsAgentHasLostGetsNothing() {
    EndpointView crashed = engine("e1", "a", Set.of(HOT));
    engine("e2", "b", Set.of());
    crashed.endedByAgent();
    assertEquals("e2", place(HOT, 800).endpoint().id().value());
    assertEquals("e2", place(COLD, 800).endpoint().id().value());
  }

  /**
   * An agent that was starved took its engine for dead; it says so and the engine is used again.
   */
  @Test
  void engineThatItsAgentSeesAgainIsUsedAgain() {
    EndpointView engine = engine("e1", "a", Set.of(HOT));
    engine.endedByAgent();
    assertInstanceOf(Placement.Nowhere.class, placer.place("llm", request(HOT, 1), Set.of(), 0));
    engine.reported(Set.of(BASE, HOT), Set.of(), false);
    assertEquals("e1", place(HOT, 800).endpoint().id().value());
  }

  /**
   * Three cold adapters are asked for within a moment, and two engines have a free place each. An
   * entry that waits for the agents to count what it has asked for sends all three to one of them,
   * where two wait for seconds.
   */
  @Test
  void burstOfColdAdaptersIsSpreadBeforeAgentsReportIt() {
    engine("e1", "a", Set.of()).reportedLoad(0, 0, 1);
    engine("e2", "a", Set.of()).reportedLoad(0, 0, 1);
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 2; i++) {
      HeldAdapter rare = new HeldAdapter(new AdapterKey("m", "rare" + i), 1);
      Placement.At at = place(rare, 800);
      assertTrue(at.placeFree());
      at.endpoint().started(request(rare, 800), 0);
      used.add(at.endpoint().id().value());
    }
    assertEquals(Set.of("e1", "e2"), used);
    assertFalse(place(COLD, 800).placeFree());
  }

  /**
   * One of two engines reads its prompts at a third of its sheet's speed; its health check is good.
   * With equal shares its callers get their first word late while the other engine has room.
   */
  @Test
  void slowEngineGetsFewerPrompts() {
    EndpointView slow = engine("e1", "a", Set.of(HOT));
    EndpointView sound = engine("e2", "a", Set.of(HOT));
    for (int i = 0; i < 40; i++) {
      placer.promptTook(slow, 8_800, 600);
      placer.promptTook(sound, 8_800, 200);
    }
    int sentToSlow = 0;
    for (int i = 0; i < 8; i++) {
      EndpointView chosen = place(HOT, 1_000).endpoint();
      chosen.started(request(HOT, 1_000), 0);
      sentToSlow += chosen == slow ? 1 : 0;
    }
    assertEquals(2, sentToSlow);
  }

  /**
   * Two engines hold the adapter, one writes ten long answers. A long prompt read there holds each
   * of them up for its whole reading, and their adapters keep their places for longer; a short one
   * hardly does.
   */
  @Test
  void longPromptAvoidsEngineWithManyRuns() {
    engine("e1", "a", Set.of(HOT)).reportedLoad(10, 0, 1);
    EndpointView idle = engine("e2", "a", Set.of(HOT));
    idle.started(request(HOT, 8_800), 0);
    assertEquals("e2", place(HOT, 8_800).endpoint().id().value());
    assertEquals("e1", place(HOT, 100).endpoint().id().value());
  }

  /** One slow first event among many is no slow engine, and a fast one earns no credit. */
  @Test
  void paceIsNeitherSetByOneAnswerNorBelowTheSheets() {
    EndpointHealth health = new EndpointHealth();
    health.read(200, 800);
    assertTrue(health.pace() < 1.2);
    for (int i = 0; i < 100; i++) {
      health.read(200, 20);
    }
    assertEquals(1, health.pace());
  }

  /** What was asked for is in the agent's reports after a while, and is not counted twice then. */
  @Test
  void placeAskedForIsCountedUntilTheAgentCountsIt() {
    EndpointView engine = engine("e1", "a", Set.of());
    engine.reportedLoad(0, 0, 1);
    engine.started(request(COLD, 800), 0);
    assertEquals(0, engine.sparePlaces(89));
    assertEquals(1, engine.sparePlaces(90));
  }

  /**
   * A burst of cold adapters. Each engine seems to have a free place, because what is known of it
   * is a tenth of a second old; requests that ran after these places left their line every time
   * before their load was done, and were refused in the end with every engine idle.
   */
  @Test
  void requestStaysInLineUntilItsLoadIsOverdue() {
    engine("e1", "a", Set.of()).reportedLoad(0, 0, 1);
    Placement.At free = place(COLD, 800);
    assertFalse(free.worthLeavingFor(100));
    assertTrue(free.worthLeavingFor(450));
  }

  /**
   * Everything has restarted. Every engine has free places and none its base model, which takes a
   * second. Requests that left their line for a free place elsewhere began to wait anew each time,
   * and adapters were loaded at two or three engines for one request.
   */
  @Test
  void requestStaysInLineWhileNoEngineHasItsModel() {
    EndpointView engine = engine("e1", "a", Set.of());
    engine.reported(Set.of(), Set.of(), false);
    engine.reportedLoad(0, 0, 4);
    assertFalse(place(COLD, 800).worthLeavingFor(450));
  }

  @Test
  void requestLeavesItsLineForEngineThatHoldsItsAdapter() {
    engine("e1", "a", Set.of(HOT));
    assertTrue(place(HOT, 800).worthLeavingFor(0));
  }

  @Test
  void adapterThatWasHeldLatelyIsLoadedAgainWhereItWas() {
    EndpointView first = engine("e1", "a", Set.of(COLD));
    engine("e2", "a", Set.of());
    first.reported(Set.of(BASE), Set.of(), false);
    assertEquals("e1", place(COLD, 800).endpoint().id().value());
  }

  /**
   * An engine with fourteen places has each taken for half a second; a place is free every 36 ms.
   * Reckoned with a quarter of a second, its callers were sent past the copy of their adapter to
   * another engine, which fetched it from the weight store again.
   */
  @Test
  void requestWaitsAtCopyWhenPlacesAreFreeSoon() {
    EndpointView first = engine("e1", "a", Set.of(COLD));
    EndpointView other = engine("e2", "a", Set.of());
    first.reported(Set.of(BASE), Set.of(), false);
    first.reportedLoad(0, 0, -1);
    other.reportedLoad(0, 0, 1);
    first.reportedCosts(new LoadCosts(250, 25, 250, 84));
    assertEquals("e2", place(COLD, 800).endpoint().id().value());
    first.reportedCosts(new LoadCosts(250, 25, 36, 84));
    assertEquals("e1", place(COLD, 800).endpoint().id().value());
  }

  /**
   * A hot adapter's engine has all its slots taken and twenty callers wait there. Seen as twenty
   * short steps that is still the soonest place; each of them waits for runs to end, and a second
   * engine could have loaded the adapter meanwhile.
   */
  @Test
  void engineWithoutFreeSlotIsPassedForOneThatCanLoad() {
    EndpointView hot = engine("e1", "a", Set.of(HOT));
    engine("e2", "a", Set.of());
    hot.listed(endpoint("e1", "llm", "a", 4), 0);
    hot.reportedLoad(4, 0, 1);
    assertEquals("e1", place(HOT, 800).endpoint().id().value());
    hot.reportedLoad(24, 0, 1);
    assertEquals("e2", place(HOT, 800).endpoint().id().value());
  }

  /** What left an engine's places long ago has no copy there any more, however deep they are. */
  @Test
  void copiesReachAsFarBackAsTheAgentSays() {
    EndpointView engine = engine("e1", "a", Set.of(COLD));
    engine.reported(Set.of(BASE, HOT), Set.of(), false);
    engine.reported(Set.of(BASE), Set.of(), false);
    engine.reportedCosts(new LoadCosts(250, 25, 36, 2));
    assertTrue(engine.hasCopy(COLD));
    engine.reportedCosts(new LoadCosts(250, 25, 36, 1));
    assertFalse(engine.hasCopy(COLD));
    assertTrue(engine.hasCopy(HOT));
  }

  /** Entries that do not talk to each other must not load a cold adapter at two engines at once. */
  @Test
  void entriesAgreeOnHomeOfColdAdapter() {
    Placer other = new Placer(PlacementSettings.DEFAULT, "a");
    for (String id : List.of("e1", "e2", "e3")) {
      engine(id, "a", Set.of());
    }
    for (String id : List.of("e3", "e1", "e2")) {
      add(other, id, "a", Set.of());
    }
    Placement there = other.place("llm", request(COLD, 800), Set.of(), 0);
    assertEquals(place(COLD, 800).endpoint().id(), ((Placement.At) there).endpoint().id());
  }

  @Test
  void leavingEndpointGetsNothing() {
    engine("e1", "a", Set.of(HOT)).reported(Set.of(BASE, HOT), Set.of(), true);
    assertEquals(
        new Placement.Nowhere(Placement.Reason.NO_ENDPOINT),
        placer.place("llm", request(HOT, 800), Set.of(), 0));
  }

  @Test
  void triedEndpointIsNotTriedAgain() {
    engine("e1", "a", Set.of(HOT));
    assertEquals(
        new Placement.Nowhere(Placement.Reason.ALL_TRIED),
        placer.place("llm", request(HOT, 800), Set.of(life("e1")), 0));
  }

  /**
   * One endpoint of a plain service fails while its health check is good. Its neighbours take its
   * requests, and after a while it is tried again.
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
  void busyPlainEndpointIsRelieved() {
    EndpointView near = plain("p1", "a");
    plain("p2", "b");
    near.succeeded(40);
    placer.views().get(new EndpointId("p2")).succeeded(40);
    for (int i = 0; i < 12; i++) {
      near.started(plainRequest(), 0);
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
  void cachedPartsAreNotReckonedAgain() {
    EndpointView first = engine("e1", "a", Set.of(HOT));
    PlacementRequest request =
        new PlacementRequest(
            1, Optional.of(HOT), 3_000, 10, 0, List.of(new PromptPart("p", 2_500)));
    assertEquals(3_000, first.uncachedTokens(request));
    first.started(request, 0);
    assertEquals(500, first.uncachedTokens(request));
  }

  @Test
  void engineWithoutAgentIsLastResortForAdapterItDoesNotHold() {
    engine("e1", "a", Set.of()).agentLost();
    engine("e2", "b", Set.of());
    assertEquals("e2", place(COLD, 800).endpoint().id().value());
    assertFalse(place(COLD, 800).present());
  }

  @Test
  void serviceWithoutEndpointsIsNowhere() {
    assertInstanceOf(Placement.Nowhere.class, placer.place("other", plainRequest(), Set.of(), 0));
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
      used.add(((Placement.At) placed).endpoint().id().value());
    }
    assertNotEquals(1, used.size());
  }

  private Placement.At place(HeldAdapter adapter, int tokens) {
    return (Placement.At) placer.place("llm", request(adapter, tokens), Set.of(), 0);
  }

  private Placement.At placeBytes(int bytes) {
    PlacementRequest request = new PlacementRequest(1, Optional.of(HOT), 800, 10, bytes, List.of());
    return (Placement.At) placer.place("llm", request, Set.of(), 0);
  }

  /** The idle endpoint that refuses everything attracted the next request. */
  @Test
  void endpointThatBacksOffIsNotChosenBeforeItsTime() {
    EndpointView idle = plain("p1", "a");
    EndpointView busy = plain("p2", "b");
    for (int i = 0; i < 50; i++) {
      busy.started(plainRequest(), 0);
    }
    idle.availability().answered(new StatedRetryAfter.Millis(500), 0);
    assertEquals("p2", plainPlace(499));
    assertEquals("p1", plainPlace(500));
  }

  /** An endpoint that had just started, and is slow at first, got as many requests as others. */
  @Test
  void endpointThatHasJustStartedIsChosenLaterThanOthersUntilItIsWarm() {
    EndpointView started = plain("p1", "a");
    plain("p2", "b");
    started.listed(
        new Endpoint(
            started.life(), "plain", URI.create("http://10.0.0.1:1"), "a", 2, false, 600, Set.of()),
        0);
    assertEquals("p2", plainPlace(599));
    assertEquals("p1", plainPlace(600));
  }

  @Test
  void requestThatNoEndpointTakesNowIsToldTheLeastWait() {
    EndpointView first = plain("p1", "a");
    first.availability().answered(new StatedRetryAfter.Millis(500), 0);
    plain("p2", "b").availability().answered(new StatedRetryAfter.Millis(300), 0);
    assertEquals(
        new Placement.Nowhere(Placement.Reason.ALL_BACK_OFF, 200),
        placer.place("plain", plainRequest(), Set.of(first.life()), 100));
  }

  private String plainPlace(long now) {
    Placement placed = placer.place("plain", plainRequest(), Set.of(), now);
    return ((Placement.At) placed).endpoint().id().value();
  }

  private static PlacementRequest request(HeldAdapter adapter, int tokens) {
    return new PlacementRequest(1, Optional.of(adapter), tokens, 10, 0, List.of());
  }

  private static PlacementRequest plainRequest() {
    return new PlacementRequest(1, Optional.empty(), 0, 0, 0, List.of());
  }

  private EndpointView engine(String id, String zone, Set<HeldAdapter> held) {
    return add(placer, id, zone, held);
  }

  private static EndpointView add(Placer placer, String id, String zone, Set<HeldAdapter> held) {
    Set<HeldAdapter> all = new HashSet<>(held);
    all.add(BASE);
    EndpointView view =
        new EndpointView(
            endpoint(id, "llm", zone, ENGINE_SLOTS), 100_000, PLACES, new EndpointAvailability());
    view.reported(all, Set.of(), false);
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
        life(id), service, URI.create("http://10.0.0.1:1"), zone, slots, false, 0, Set.of());
  }

  private static EndpointLife life(String id) {
    return new EndpointLife(new EndpointId(id), EndpointLife.UNKNOWN_START);
  }
}
