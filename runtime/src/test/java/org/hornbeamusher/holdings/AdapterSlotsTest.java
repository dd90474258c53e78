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
import org.hornbeamusher.directory.AdapterVersion;
import org.hornbeamusher.recovery.LoadPermitResponse;
import org.hornbeamusher.recovery.LoadPermits;
import org.hornbeamusher.recovery.StoreLoadDemand;
import org.hornbeamusher.routes.AdapterKey;
import org.hornbeamusher.routes.LatestAdapterVersions;
import org.junit.jupiter.api.Test;

class AdapterSlotsTest {

  private static final List<String> MODELS = List.of("m");
  private static final long AFTER_STARTUP_GRACE = AdapterSlots.STARTUP_GRACE_MILLIS;
  private static final long WAIT_MILLIS = 60_000;

  private final LatestAdapterVersions versions = new LatestAdapterVersions();
  private final AdapterSlots adapterSlots = new AdapterSlots(2, versions, LoadPriority.BY_RANK, 0);
  private long sequence;

  @Test
  void wantedAdapterIsLoadedIntoFreeSlot() {
    report(Map.of());
    reserve(1, "a", 1, 0);
    assertEquals(load("a"), order(0));
  }

  @Test
  void nothingIsOrderedWhileResultIsOutstanding() {
    report(Map.of());
    reserve(1, "a", 1, 0);
    reserve(2, "b", 1, 0);
    order(0);
    assertEquals(Optional.empty(), order(0));
    adapterSlots.orderCompleted(OrderResult.ACCEPTED);
    report(Map.of("a", 1L));
    assertEquals(load("b"), order(0));
  }

  /**
   * Guards against slots that stay occupied after an engine restart: the engine restarts during an
   * ordered load and a run, and its new incarnation knows of neither. With two slots, nothing could
   * be loaded any more.
   */
  @Test
  void restartFreesAllSlots() {
    report(Map.of("a", 1L));
    reserve(1, "a", 1, 0);
    adapterSlots.takeGrants();
    reserve(2, "b", 1, 0);
    assertEquals(load("b"), order(0));
    adapterSlots.engineRestarted();
    assertEquals(Set.of(), adapterSlots.held());
    assertEquals(Set.of(), adapterSlots.loading());
    assertEquals(0, adapterSlots.workloads(0).fromOthers(99).requests());
    report(Map.of());
    assertEquals(2, adapterSlots.spareSlots(0));
    reserve(3, "c", 1, 0);
    assertEquals(load("c"), order(0));
  }

  /**
   * Guards against granting a request that has been waiting since before an engine restart. Its
   * entry would send it before it learns of the new incarnation, and then abandon it as possibly
   * executed.
   */
  @Test
  void restartDropsWaitingReservations() {
    report(Map.of());
    reserve(1, "a", 1, 0);
    adapterSlots.engineRestarted();
    report(Map.of("a", 1L));
    assertEquals(List.of(), adapterSlots.takeGrants());
  }

  /**
   * Guards against ordering a load into a slot that an earlier load takes. No report shows that
   * load yet, so the slot still appears free; a second load would exceed the engine's slots and
   * crash it.
   */
  @Test
  void unreportedLoadOccupiesSlot() {
    report(Map.of("used", 1L));
    reserve(1, "used", 1, 0);
    adapterSlots.takeGrants();
    reserve(2, "a", 1, 0);
    reserve(3, "b", 1, 0);
    assertEquals(load("a"), order(0));
    adapterSlots.orderCompleted(OrderResult.ACCEPTED);
    assertEquals(Optional.empty(), order(AFTER_STARTUP_GRACE));
  }

  @Test
  void reservationIsGrantedOnceWhenAdapterIsLoaded() {
    report(Map.of());
    reserve(1, "a", 1, 0);
    assertEquals(List.of(), adapterSlots.takeGrants());
    report(Map.of("a", 1L));
    assertEquals(List.of(id(1)), adapterSlots.takeGrants());
    assertEquals(List.of(), adapterSlots.takeGrants());
  }

  @Test
  void unusedAdapterIsWithdrawnBeforeItIsUnloaded() {
    report(Map.of("a", 1L, "b", 1L));
    reserve(1, "a", 1, 0);
    adapterSlots.takeGrants();
    reserve(2, "c", 1, AFTER_STARTUP_GRACE);
    assertEquals(Optional.empty(), order(AFTER_STARTUP_GRACE));
    assertFalse(adapterSlots.held().contains(held("b", 1)));
    assertEquals(Optional.empty(), order(AFTER_STARTUP_GRACE + AdapterSlots.WITHDRAWAL_MILLIS - 1));
    assertEquals(unload("b"), order(AFTER_STARTUP_GRACE + AdapterSlots.WITHDRAWAL_MILLIS));
  }

  /**
   * Guards against unloading an adapter that an entry uses at the moment of its withdrawal. The
   * engine would refuse the request and it would have to be sent again.
   */
  @Test
  void reservationCancelsWithdrawal() {
    report(Map.of("a", 1L, "b", 1L));
    reserve(1, "a", 1, 0);
    adapterSlots.takeGrants();
    reserve(2, "c", 1, AFTER_STARTUP_GRACE);
    order(AFTER_STARTUP_GRACE);
    reserve(3, "b", 1, AFTER_STARTUP_GRACE + 5);
    adapterSlots.takeGrants();
    assertTrue(adapterSlots.held().contains(held("b", 1)));
    assertEquals(Optional.empty(), order(AFTER_STARTUP_GRACE + 1_000));
  }

  /**
   * Guards against loading a third adapter while running requests use both slots, which would crash
   * the engine and all its requests.
   */
  @Test
  void nothingIsOrderedWhileAllSlotsAreInUse() {
    report(Map.of("a", 1L, "b", 1L));
    reserve(1, "a", 1, 0);
    reserve(2, "b", 1, 0);
    adapterSlots.takeGrants();
    reserve(3, "c", 1, AFTER_STARTUP_GRACE);
    assertEquals(Optional.empty(), order(AFTER_STARTUP_GRACE + 1_000));
    assertEquals(-1, adapterSlots.spareSlots(AFTER_STARTUP_GRACE + 1_000));
    adapterSlots.release(id(1));
    order(AFTER_STARTUP_GRACE + 1_000);
    assertEquals(unload("a"), order(AFTER_STARTUP_GRACE + 1_100));
  }

  /**
   * Guards against callers that are told to wait for the slot that is withheld from late requests.
   */
  @Test
  void withheldSlotDoesNotCountAsWaitingAdapter() {
    report(Map.of("a", 1L, "b", 1L));
    reserve(1, "a", 1, 0);
    reserve(2, "b", 1, 0);
    adapterSlots.takeGrants();
    reserve(3, "c", 1, AFTER_STARTUP_GRACE);
    order(AFTER_STARTUP_GRACE + 100);
    assertEquals(-2, adapterSlots.spareSlots(AFTER_STARTUP_GRACE + 100));
    assertEquals(1, adapterSlots.waitingAdapters());
    adapterSlots.release(id(3));
    assertEquals(0, adapterSlots.waitingAdapters());
  }

  /**
   * Guards against a late request under full load that takes the slot that has just become free and
   * occupies it for seconds, which makes the next request late that could have been on time.
   */
  @Test
  void lateRequestDoesNotTakeLastSlot() {
    occupySlotsWhileOnTimeRequestWaits();
    reserve(4, "d", 1, AFTER_STARTUP_GRACE, 0);
    adapterSlots.release(id(3));
    adapterSlots.release(id(1));
    assertEquals(Optional.empty(), orderAfterWithdrawal(AFTER_STARTUP_GRACE + 100));
    reserve(5, "e", 1, AFTER_STARTUP_GRACE + 200, 800);
    assertEquals(unload("a"), orderAfterWithdrawal(AFTER_STARTUP_GRACE + 200));
  }

  /** No on-time request has waited for three seconds, so the late request gets the slot. */
  @Test
  void lateRequestIsServedWhenNoOnTimeRequestWaits() {
    occupySlotsWhileOnTimeRequestWaits();
    reserve(4, "d", 1, AFTER_STARTUP_GRACE, 0);
    adapterSlots.release(id(3));
    adapterSlots.release(id(1));
    assertEquals(unload("a"), orderAfterWithdrawal(AFTER_STARTUP_GRACE + 3_000));
  }

  private void occupySlotsWhileOnTimeRequestWaits() {
    report(Map.of("a", 1L, "b", 1L));
    reserve(1, "a", 1, 0);
    reserve(2, "b", 1, 0);
    adapterSlots.takeGrants();
    reserve(3, "c", 1, AFTER_STARTUP_GRACE, 800);
    assertEquals(Optional.empty(), order(AFTER_STARTUP_GRACE));
  }

  /** Withdraws an unused adapter with the first call and returns the order of the second. */
  private Optional<EngineOrder> orderAfterWithdrawal(long now) {
    order(now);
    return order(now + AdapterSlots.WITHDRAWAL_MILLIS);
  }

  /** After an agent's restart the entries' reservations are still in transit. */
  @Test
  void nothingIsUnloadedDuringStartupGrace() {
    report(Map.of("a", 1L, "b", 1L));
    reserve(1, "c", 1, 0);
    assertEquals(Optional.empty(), order(AFTER_STARTUP_GRACE - 1));
    assertTrue(adapterSlots.held().contains(held("a", 1)));
  }

  /**
   * Guards against reusing the slot of a load whose result is unknown, since the engine may execute
   * the load seconds later. The next report decides.
   */
  @Test
  void loadWithUnknownResultIsOrderedAgainAfterReport() {
    report(Map.of("a", 1L));
    reserve(1, "b", 1, 0);
    assertEquals(load("b"), order(0));
    adapterSlots.orderCompleted(OrderResult.UNKNOWN);
    assertTrue(adapterSlots.loading().contains(held("b", 1)));
    report(Map.of("a", 1L));
    assertEquals(load("b"), order(10));
  }

  @Test
  void olderVersionIsNotHeldAndIsReplacedWhenUnused() {
    report(Map.of("a", 1L));
    reserve(1, "a", 1, 0);
    adapterSlots.takeGrants();
    versions.offer(key("a"), 2);
    assertFalse(adapterSlots.held().contains(held("a", 1)));
    reserve(2, "a", 2, 0);
    assertEquals(List.of(), adapterSlots.takeGrants());
    assertEquals(Optional.empty(), order(0));
    adapterSlots.release(id(1));
    assertEquals(load("a"), order(0));
    adapterSlots.orderCompleted(OrderResult.ACCEPTED);
    report(Map.of("a", 2L));
    assertEquals(List.of(id(2)), adapterSlots.takeGrants());
  }

  @Test
  void engineWithoutModelLoadsItFirst() {
    adapterSlots.recordReport(
        new EngineReport(Set.of(), Map.of(), Set.of(), false, 0, false, 0), 0);
    reserve(1, "a", 1, 0);
    assertEquals(Optional.of(new EngineOrder.Load(new AdapterKey("m", ""))), order(0));
  }

  @Test
  void drainingEngineIsOrderedNothing() {
    adapterSlots.recordReport(
        new EngineReport(Set.of("m"), Map.of(), Set.of(), false, 0, true, 0), 0);
    reserve(1, "a", 1, 0);
    assertEquals(Optional.empty(), order(0));
  }

  /**
   * The engine restarts under load and has lost its adapters; waiting requests get theirs loaded
   * again with its first report.
   */
  @Test
  void unreachableEngineHoldsNothing() {
    report(Map.of("a", 1L));
    adapterSlots.engineUnreachable();
    assertEquals(Set.of(), adapterSlots.held());
    reserve(1, "a", 1, 0);
    report(Map.of());
    assertEquals(load("a"), order(0));
  }

  @Test
  void lostEntryReleasesItsReservations() {
    report(Map.of("a", 1L, "b", 1L));
    reserve(1, "a", 1, 0);
    adapterSlots.takeGrants();
    adapterSlots.releaseAll(7);
    assertEquals(0, adapterSlots.workloads(0).fromOthers(0).requests());
    assertEquals(2, adapterSlots.spareSlots(AFTER_STARTUP_GRACE));
  }

  /** A late request must not take the slot of a request that can still meet its target time. */
  @Test
  void onTimeRequestPrecedesLateOne() {
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
  void oneOnTimeRequestPrecedesManyLateOnes() {
    report(Map.of());
    reserve(1, "popular", 1, 0, 100);
    reserve(2, "popular", 1, 0, 100);
    reserve(3, "single", 1, 0, 900);
    assertEquals(load("single"), order(0));
  }

  @Test
  void workloadFromOthersExcludesOwnRequests() {
    report(Map.of("a", 1L));
    reserve(1, "a", 1, 0);
    assertEquals(0, adapterSlots.workloads(0).fromOthers(7).pendingPromptTokens());
    assertEquals(100, adapterSlots.workloads(0).fromOthers(8).pendingPromptTokens());
    adapterSlots.promptProcessed(id(1));
    assertEquals(0, adapterSlots.workloads(0).fromOthers(8).pendingPromptTokens());
  }

  @Test
  void pacedLoadWaitsForPermit() {
    LoadPermits permits = pacedPermits();
    AdapterSlots paced =
        new AdapterSlots(2, versions, LoadPriority.BY_RANK, Optional.of(permits), 0);
    paced.recordReport(engineReport(Map.of(), 1), 0);
    paced.reserve(reservation(1, held("a", 1), 0, 800), 0);
    assertEquals(Optional.empty(), paced.nextOrder(MODELS, 0));
    assertEquals(new StoreLoadDemand(1, 1), paced.storeLoadDemand(0));
    permits.received(new LoadPermitResponse(1, true, 1, 400, 24), 0);
    assertEquals(load("a"), paced.nextOrder(MODELS, 0));
    assertEquals(StoreLoadDemand.NONE, paced.storeLoadDemand(0));
  }

  /** Guards against an engine that waits for the store to load what it has cached itself. */
  @Test
  void cachedAdapterIsLoadedWithoutPermit() {
    AdapterSlots paced =
        new AdapterSlots(2, versions, LoadPriority.BY_RANK, Optional.of(pacedPermits()), 0);
    paced.recordReport(engineReport(Map.of(key("a"), 1L), 1), 0);
    paced.recordReport(engineReport(Map.of(), 2), 0);
    paced.reserve(reservation(1, held("b", 1), 0, 800), 0);
    paced.reserve(reservation(2, held("a", 1), 0, 900), 0);
    assertEquals(load("a"), paced.nextOrder(MODELS, 0));
  }

  /**
   * Guards against engines that all begin to load adapters at once after a restart. While they
   * loaded their base models the store was idle, so they were told that no permits are needed.
   */
  @Test
  void engineThatHasLoadedItsBaseModelNeedsPermits() {
    LoadPermits permits = pacedPermits();
    AdapterSlots paced =
        new AdapterSlots(2, versions, LoadPriority.BY_RANK, Optional.of(permits), 0);
    EngineReport withoutModel = new EngineReport(Set.of(), Map.of(), Set.of(), false, 1, false, 0);
    paced.recordReport(withoutModel, 0);
    permits.received(new LoadPermitResponse(1, false, 0, 0, 24), 0);
    paced.recordReport(engineReport(Map.of(), 2), 0);
    paced.reserve(reservation(1, held("a", 1), 0, 800), 0);
    assertEquals(Optional.empty(), paced.nextOrder(MODELS, 0));
    assertTrue(permits.dueRequest(0).isPresent());
  }

  /** Guards against entries that place requests as if the store were idle. */
  @Test
  void waitForPermitIsPartOfTheCosts() {
    LoadPermits permits = pacedPermits();
    AdapterSlots paced =
        new AdapterSlots(2, versions, LoadPriority.BY_RANK, Optional.of(permits), 0);
    final long before = paced.costs().storeLoadMillis();
    permits.received(new LoadPermitResponse(1, true, 0, 420, 24), 0);
    assertEquals(before + 400, paced.costs().storeLoadMillis());
  }

  private static LoadPermits pacedPermits() {
    LoadPermits permits = new LoadPermits();
    permits.coordinatorChosen();
    return permits;
  }

  /**
   * Random sequences of reservations, releases and lost responses against a model of the engine,
   * which must never be ordered to load more adapters than it has slots.
   */
  @Property(tries = 300, seed = "4711")
  void ordersNeverExceedSlots(
      @ForAll @Size(min = 20, max = 120) List<@IntRange(max = 99) Integer> steps) {
    AdapterSlots tested = new AdapterSlots(3, new LatestAdapterVersions(), LoadPriority.BY_RANK, 0);
    Map<AdapterKey, Long> engine = new HashMap<>();
    Map<Long, AdapterKey> running = new TreeMap<>();
    tested.recordReport(engineReport(engine, 0), 0);
    long now = AFTER_STARTUP_GRACE;
    long next = 0;
    for (int step : steps) {
      now += 15;
      if (step < 45) {
        AdapterKey wanted = key("a" + step % 8);
        long number = ++next;
        tested.reserve(reservation(number, new AdapterVersion(wanted, 1), now, 500), now);
        running.put(number, wanted);
      } else if (step < 75 && !running.isEmpty()) {
        long first = running.keySet().iterator().next();
        running.remove(first);
        tested.release(id(first));
      }
      tested.takeGrants();
      Optional<EngineOrder> order = tested.nextOrder(MODELS, now);
      if (order.isPresent()) {
        boolean lost = step >= 90;
        if (!lost || step % 2 == 0) {
          carryOut(order.get(), engine);
        }
        tested.orderCompleted(lost ? OrderResult.UNKNOWN : OrderResult.ACCEPTED);
        tested.recordReport(engineReport(engine, now), now);
      }
      assertTrue(engine.size() <= 3, "more adapters than slots");
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
    adapterSlots.recordReport(engineReport(held, ++sequence), 0);
  }

  private void reserve(long number, String adapter, long version, long now) {
    reserve(number, adapter, version, now, 800);
  }

  private void reserve(long number, String adapter, long version, long now, long targetMillis) {
    adapterSlots.reserve(reservation(number, held(adapter, version), now, targetMillis), now);
  }

  private static Reservation reservation(
      long number, AdapterVersion adapter, long now, long targetMillis) {
    return new Reservation(id(number), adapter, 0, 100, now + WAIT_MILLIS, now + targetMillis, now);
  }

  private Optional<EngineOrder> order(long now) {
    return adapterSlots.nextOrder(MODELS, now);
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

  private static AdapterVersion held(String adapter, long version) {
    return new AdapterVersion(key(adapter), version);
  }

  private static AdapterKey key(String adapter) {
    return new AdapterKey("m", adapter);
  }
}
