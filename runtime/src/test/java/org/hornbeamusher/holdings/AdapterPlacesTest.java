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
   * Guards against slots that stay occupied after an engine restart: the engine restarts during an
   * ordered load and a run, and its new incarnation knows of neither. With two slots, nothing could
   * be loaded any more.
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
   * Guards against granting a request that has been waiting since before an engine restart. Its
   * entry would send it before it learns of the new incarnation, and then abandon it as possibly
   * executed.
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
   * Guards against ordering a load into a slot that an earlier load takes. No report shows that
   * load yet, so the slot still appears free; a second load would exceed the engine's slots and
   * crash it.
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
   * Guards against unloading an adapter that an entry uses at the moment of its withdrawal. The
   * engine would refuse the request and it would have to be sent again.
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
   * Guards against loading a third adapter while running requests use both slots, which would crash
   * the engine and all its requests.
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
   * Guards against a late request under full load that takes the slot that has just become free and
   * occupies it for seconds, which makes the next request late that could have been on time.
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

  /** No on-time request has waited for three seconds, so the late request gets the slot. */
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

  /** Withdraws an unused adapter with the first call and returns the order of the second. */
  private Optional<EngineOrder> orderAfterWithdrawal(long now) {
    order(now);
    return order(now + AdapterPlaces.WITHDRAW_MILLIS);
  }

  /** After an agent's restart the entries' reservations are still in transit. */
  @Test
  void nothingIsUnloadedRightAfterTheStart() {
    report(Map.of("a", 1L, "b", 1L));
    reserve(1, "c", 1, 0);
    assertEquals(Optional.empty(), order(SETTLED - 1));
    assertTrue(places.held().contains(held("a", 1)));
  }

  /**
   * Guards against reusing the slot of a load whose result is unknown, since the engine may execute
   * the load seconds later. The next report decides.
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
   * The engine restarts under load and has lost its adapters; waiting requests get theirs loaded
   * again with its first report.
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

  /** A late request must not take the slot of a request that can still meet its target time. */
  @Test
  void requestThatCanBeInTimeComesBeforeLateOne() {
    report(Map.of());
    reserve(1, "late", 1, 0, 100);
    reserve(2, "hopeful", 1, 0, 900);
    assertEquals(load("hopeful"), order(0));
  }

  /**
   * Guards against loading in the order of arrival after a restart, where three callers of one
   * adapter would wait for two loads because one caller of another adapter came first.
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

  /** The requests for the popular adapter are late in any case, the single request is not. */
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
   * Random sequences of reservations, releases and lost responses against a model of the engine,
   * which must never be ordered to load more adapters than it has slots.
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
