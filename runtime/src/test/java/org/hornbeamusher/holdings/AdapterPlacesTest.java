package org.hornbeamusher.holdings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hornbeamusher.directory.HeldAdapter;
import org.hornbeamusher.routes.AdapterKey;
import org.hornbeamusher.routes.VersionsInForce;
import org.junit.jupiter.api.Test;

class AdapterPlacesTest {

  private static final List<String> MODELS = List.of("m");
  private static final long SETTLED = AdapterPlaces.SETTLE_MILLIS;
  private static final long PATIENCE = 60_000;

  private final VersionsInForce versions = new VersionsInForce();
  private final AdapterPlaces places = new AdapterPlaces(2, versions, 0);
  private long sequence;

  @Test
  void wantedAdapterIsLoadedIntoFreePlace() {
    report(Map.of());
    reserve(1, "a", 1, 0);
    assertEquals(load("a"), order(0));
  }

  @Test
  void nothingIsOrderedWhileAnOrderHasNoAnswer() {
    report(Map.of());
    reserve(1, "a", 1, 0);
    reserve(2, "b", 1, 0);
    order(0);
    assertEquals(Optional.empty(), order(0));
    places.answered(OrderAnswer.ACCEPTED);
    report(Map.of("a", 1L));
    assertEquals(load("b"), order(0));
  }

  /**
   * The engine starts again while a load that it was ordered is on its way and a run holds an
   * adapter. A place that was kept for either would stay taken in a life that knows of neither, and
   * with two places nothing could be loaded any more.
   */
  @Test
  void laterLifeHasAllItsPlaces() {
    report(Map.of("a", 1L));
    reserve(1, "a", 1, 0);
    places.takeGrants();
    reserve(2, "b", 1, 0);
    assertEquals(load("b"), order(0));
    places.restarted();
    assertEquals(Set.of(), places.held());
    assertEquals(Set.of(), places.coming());
    assertEquals(0, places.loads(0).others(99).requests());
    report(Map.of());
    assertEquals(2, places.sparePlaces(0));
    reserve(3, "c", 1, 0);
    assertEquals(load("c"), order(0));
  }

  /**
   * A request waited for a load when the engine started again. Granted by the later life before its
   * entry has heard of it, the request would be sent and then be given up as one that may have run.
   */
  @Test
  void laterLifeGrantsNothingThatWaitedForTheFormerOne() {
    report(Map.of());
    reserve(1, "a", 1, 0);
    places.restarted();
    report(Map.of("a", 1L));
    assertEquals(List.of(), places.takeGrants());
  }

  /**
   * An engine with one place left takes an order to load, and the report that would show the load
   * does not come. By the report before it the place is still free; a second load would be one more
   * than the engine has places for, and would crash it.
   */
  @Test
  void loadThatNoReportShowsYetTakesItsPlace() {
    report(Map.of("used", 1L));
    reserve(1, "used", 1, 0);
    places.takeGrants();
    reserve(2, "a", 1, 0);
    reserve(3, "b", 1, 0);
    assertEquals(load("a"), order(0));
    places.answered(OrderAnswer.ACCEPTED);
    assertEquals(Optional.empty(), order(SETTLED));
  }

  @Test
  void reservationIsGrantedOnceWhenItsAdapterIsThere() {
    report(Map.of());
    reserve(1, "a", 1, 0);
    assertEquals(List.of(), places.takeGrants());
    report(Map.of("a", 1L));
    assertEquals(List.of(id(1)), places.takeGrants());
    assertEquals(List.of(), places.takeGrants());
  }

  @Test
  void unusedAdapterIsWithdrawnBeforeItIsUnloaded() {
    report(Map.of("a", 1L, "b", 1L));
    reserve(1, "a", 1, 0);
    places.takeGrants();
    reserve(2, "c", 1, SETTLED);
    assertEquals(Optional.empty(), order(SETTLED));
    assertFalse(places.held().contains(held("b", 1)));
    assertEquals(Optional.empty(), order(SETTLED + AdapterPlaces.WITHDRAW_MILLIS - 1));
    assertEquals(unload("b"), order(SETTLED + AdapterPlaces.WITHDRAW_MILLIS));
  }

  /**
   * An entry sends a request on an adapter at the moment at which the agent withdraws it. Unloaded
   * all the same, the engine would refuse the request and it would be sent once more.
   */
  @Test
  void reservationTakesWithdrawalBack() {
    report(Map.of("a", 1L, "b", 1L));
    reserve(1, "a", 1, 0);
    places.takeGrants();
    reserve(2, "c", 1, SETTLED);
    order(SETTLED);
    reserve(3, "b", 1, SETTLED + 5);
    places.takeGrants();
    assertTrue(places.held().contains(held("b", 1)));
    assertEquals(Optional.empty(), order(SETTLED + 1_000));
  }

  /**
   * Both places are in use by running requests. Ordered to load a third adapter, the engine would
   * crash and take every request with it.
   */
  @Test
  void fullPlacesInUseAreLeftAlone() {
    report(Map.of("a", 1L, "b", 1L));
    reserve(1, "a", 1, 0);
    reserve(2, "b", 1, 0);
    places.takeGrants();
    reserve(3, "c", 1, SETTLED);
    assertEquals(Optional.empty(), order(SETTLED + 1_000));
    assertEquals(-1, places.sparePlaces(SETTLED + 1_000));
    places.release(id(1));
    order(SETTLED + 1_000);
    assertEquals(unload("a"), order(SETTLED + 1_100));
  }

  /**
   * A full day: timely requests wait for places. One that can only be late takes the place that has
   * just become free, holds it for seconds, and the next timely one is late as well.
   */
  @Test
  void lateRequestLeavesTheLastPlaceToTimelyOnes() {
    fillWithTimelyWaiting();
    reserve(4, "d", 1, SETTLED, 0);
    places.release(id(3));
    places.release(id(1));
    assertEquals(Optional.empty(), orderAfterWithdrawal(SETTLED + 100));
    reserve(5, "e", 1, SETTLED + 200, 800);
    assertEquals(unload("a"), orderAfterWithdrawal(SETTLED + 200));
  }

  /** Once nobody timely has waited for three seconds, the late one is served rather than nobody. */
  @Test
  void lateRequestIsServedWhenNobodyTimelyWaits() {
    fillWithTimelyWaiting();
    reserve(4, "d", 1, SETTLED, 0);
    places.release(id(3));
    places.release(id(1));
    assertEquals(unload("a"), orderAfterWithdrawal(SETTLED + 3_000));
  }

  private void fillWithTimelyWaiting() {
    report(Map.of("a", 1L, "b", 1L));
    reserve(1, "a", 1, 0);
    reserve(2, "b", 1, 0);
    places.takeGrants();
    reserve(3, "c", 1, SETTLED, 800);
    assertEquals(Optional.empty(), order(SETTLED));
  }

  /** An unused adapter is withdrawn by the first call and unloaded by a later one. */
  private Optional<EngineOrder> orderAfterWithdrawal(long now) {
    order(now);
    return order(now + AdapterPlaces.WITHDRAW_MILLIS);
  }

  /** After an agent's restart the entries' reservations are on their way; nothing is dropped. */
  @Test
  void nothingIsUnloadedRightAfterTheStart() {
    report(Map.of("a", 1L, "b", 1L));
    reserve(1, "c", 1, 0);
    assertEquals(Optional.empty(), order(SETTLED - 1));
    assertTrue(places.held().contains(held("a", 1)));
  }

  /**
   * An order got no answer and a load may be carried out seconds later. Until a report shows the
   * engine's state, no other order is made of the place it may take.
   */
  @Test
  void loadWithoutAnswerIsDecidedAgainOnTheNextReport() {
    report(Map.of("a", 1L));
    reserve(1, "b", 1, 0);
    assertEquals(load("b"), order(0));
    places.answered(OrderAnswer.UNKNOWN);
    assertTrue(places.coming().contains(held("b", 1)));
    report(Map.of("a", 1L));
    assertEquals(load("b"), order(10));
  }

  @Test
  void olderVersionIsNotHeldAndIsReplacedWhenUnused() {
    report(Map.of("a", 1L));
    reserve(1, "a", 1, 0);
    places.takeGrants();
    versions.offer(key("a"), 2);
    assertFalse(places.held().contains(held("a", 1)));
    reserve(2, "a", 2, 0);
    assertEquals(List.of(), places.takeGrants());
    assertEquals(Optional.empty(), order(0));
    places.release(id(1));
    assertEquals(load("a"), order(0));
    places.answered(OrderAnswer.ACCEPTED);
    report(Map.of("a", 2L));
    assertEquals(List.of(id(2)), places.takeGrants());
  }

  @Test
  void engineWithoutModelLoadsItFirst() {
    places.reported(new EngineReport(Set.of(), Map.of(), Set.of(), false, 0, false, 0), 0);
    reserve(1, "a", 1, 0);
    assertEquals(Optional.of(new EngineOrder.Load(new AdapterKey("m", ""))), order(0));
  }

  @Test
  void leavingEngineIsOrderedNothing() {
    places.reported(new EngineReport(Set.of("m"), Map.of(), Set.of(), false, 0, true, 0), 0);
    reserve(1, "a", 1, 0);
    assertEquals(Optional.empty(), order(0));
  }

  /**
   * An engine restarts under load. What it held is gone, and requests that wait there get their
   * adapters again as soon as it answers.
   */
  @Test
  void restartForgetsWhatWasHeld() {
    report(Map.of("a", 1L));
    places.lost();
    assertEquals(Set.of(), places.held());
    reserve(1, "a", 1, 0);
    report(Map.of());
    assertEquals(load("a"), order(0));
  }

  @Test
  void lostEntryFreesWhatItReserved() {
    report(Map.of("a", 1L, "b", 1L));
    reserve(1, "a", 1, 0);
    places.takeGrants();
    places.releaseAll(7);
    assertEquals(0, places.loads(0).others(0).requests());
    assertEquals(2, places.sparePlaces(SETTLED));
  }

  /** Requests that are late already must not keep a place from those that can be in time. */
  @Test
  void requestThatCanBeInTimeComesBeforeLateOne() {
    report(Map.of());
    reserve(1, "late", 1, 0, 100);
    reserve(2, "hopeful", 1, 0, 900);
    assertEquals(load("hopeful"), order(0));
  }

  /**
   * An engine has started again, empty. Three callers wait for one adapter, one who came before
   * them for another. Loaded by the time of arrival, the three wait for two loads instead of one.
   */
  @Test
  void adapterThatServesMostWaitingRequestsIsLoadedFirst() {
    report(Map.of());
    reserve(1, "single", 1, 0, 900);
    reserve(2, "popular", 1, 0, 1_000);
    reserve(3, "popular", 1, 0, 1_100);
    reserve(4, "popular", 1, 0, 1_200);
    assertEquals(load("popular"), order(0));
  }

  /** Those who wait for the popular one will be late anyway; the single caller will not. */
  @Test
  void callerWhoCanBeInTimeComesBeforeManyWhoCannot() {
    report(Map.of());
    reserve(1, "popular", 1, 0, 100);
    reserve(2, "popular", 1, 0, 100);
    reserve(3, "single", 1, 0, 900);
    assertEquals(load("single"), order(0));
  }

  @Test
  void otherEntriesLoadLeavesOutOnesOwn() {
    report(Map.of("a", 1L));
    reserve(1, "a", 1, 0);
    assertEquals(0, places.loads(0).others(7).unreadTokens());
    assertEquals(100, places.loads(0).others(8).unreadTokens());
    places.promptRead(id(1));
    assertEquals(0, places.loads(0).others(8).unreadTokens());
  }

  /**
   * Drawn histories of reservations, releases and lost answers against an engine that crashes when
   * it is ordered beyond its places, or when an adapter in use is unloaded.
   */
  @Property(tries = 300, seed = "4711")
  void engineIsNeverOrderedBeyondItsPlaces(
      @ForAll @Size(min = 20, max = 120) List<@IntRange(max = 99) Integer> steps) {
    AdapterPlaces drawn = new AdapterPlaces(3, new VersionsInForce(), 0);
    Map<AdapterKey, Long> engine = new HashMap<>();
    Map<Long, AdapterKey> running = new TreeMap<>();
    drawn.reported(engineReport(engine, 0), 0);
    long now = SETTLED;
    long next = 0;
    for (int step : steps) {
      now += 15;
      if (step < 45) {
        AdapterKey wanted = key("a" + step % 8);
        long number = ++next;
        drawn.reserve(reservation(number, new HeldAdapter(wanted, 1), now, 500), now);
        running.put(number, wanted);
      } else if (step < 75 && !running.isEmpty()) {
        long first = running.keySet().iterator().next();
        running.remove(first);
        drawn.release(id(first));
      }
      drawn.takeGrants();
      Optional<EngineOrder> order = drawn.nextOrder(MODELS, now);
      if (order.isPresent()) {
        boolean lost = step >= 90;
        if (!lost || step % 2 == 0) {
          carryOut(order.get(), engine);
        }
        drawn.answered(lost ? OrderAnswer.UNKNOWN : OrderAnswer.ACCEPTED);
        drawn.reported(engineReport(engine, now), now);
      }
      assertTrue(engine.size() <= 3, "places");
    }
  }

  private static void carryOut(EngineOrder order, Map<AdapterKey, Long> engine) {
    switch (order) {
      case EngineOrder.Load load -> engine.put(load.key(), 1L);
      case EngineOrder.Unload unload -> engine.remove(unload.key());
    }
  }

  private static EngineReport engineReport(Map<AdapterKey, Long> held, long sequence) {
    return new EngineReport(Set.of("m"), held, Set.of(), false, sequence, false, 0);
  }

  private void report(Map<String, Long> adapters) {
    Map<AdapterKey, Long> held = new HashMap<>();
    adapters.forEach((name, version) -> held.put(key(name), version));
    places.reported(engineReport(held, ++sequence), 0);
  }

  private void reserve(long number, String adapter, long version, long now) {
    reserve(number, adapter, version, now, 800);
  }

  private void reserve(long number, String adapter, long version, long now, long aim) {
    places.reserve(reservation(number, held(adapter, version), now, aim), now);
  }

  private static Reservation reservation(
      long number, HeldAdapter adapter, long now, long aimMillis) {
    return new Reservation(id(number), adapter, 0, 100, now + PATIENCE, now + aimMillis);
  }

  private Optional<EngineOrder> order(long now) {
    return places.nextOrder(MODELS, now);
  }

  private static Optional<EngineOrder> load(String adapter) {
    return Optional.of(new EngineOrder.Load(key(adapter)));
  }

  private static Optional<EngineOrder> unload(String adapter) {
    return Optional.of(new EngineOrder.Unload(key(adapter)));
  }

  private static ReservationId id(long number) {
    return new ReservationId(7, number);
  }

  private static HeldAdapter held(String adapter, long version) {
    return new HeldAdapter(key(adapter), version);
  }

  private static AdapterKey key(String adapter) {
    return new AdapterKey("m", adapter);
  }
}
