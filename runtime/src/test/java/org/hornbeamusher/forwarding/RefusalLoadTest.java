package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.hornbeamusher.features.ServingFeature;
import org.hornbeamusher.features.ServingFeatures;
import org.hornbeamusher.forwarding.RefusalSimulation.Call;
import org.hornbeamusher.forwarding.RefusalSimulation.CallType;
import org.hornbeamusher.forwarding.RefusalSimulation.End;
import org.junit.jupiter.api.Test;

/**
 * What callers get when more of them need an adapter loaded than slots become free, with the
 * forecast and without it. Eight engines free about thirty adapter slots a second.
 */
class RefusalLoadTest {

  private static final ServingFeatures WITHOUT =
      new ServingFeatures(Set.of(ServingFeature.FORECAST));
  private static final CallType SHORT = new CallType(800, 15_000, 1_300, 800);
  private static final CallType LONG = new CallType(1_000, 5_000, 3_000, 9_000);

  private static final int ENTRIES = 6;
  private static final int ENGINES = 8;

  /** Six slots each, used for a load of 0.3 s and a run of 1.3 s. */
  private static final int FREED_PER_SECOND = ENGINES * 6 * 10 / 16;

  private static final int SEEDS = 5;

  /** So few callers are refused under some loads that a few seeds decide nothing. */
  private static final int MANY_SEEDS = 40;

  private static final long END_MILLIS = 60_000;

  /** Half of the capacity is used; for two seconds three times the capacity is asked for. */
  private static final Consumer<RefusalSimulation> BURST =
      load -> {
        load.arrivals(0, 30_000, 16, SHORT);
        load.arrivals(10_000, 12_000, 74, SHORT);
      };

  private static final Consumer<RefusalSimulation> WAVE =
      load -> {
        load.arrivals(0, 30_000, 16, SHORT);
        load.arrivals(5_000, 15_000, 10, SHORT);
        load.arrivals(7_000, 13_000, 10, SHORT);
      };

  private static final Consumer<RefusalSimulation> SLOW_ENGINE =
      load -> {
        load.slowDown("e0", 3);
        load.slowDown("e1", 3);
        load.arrivals(0, 30_000, 16, SHORT);
        load.arrivals(10_000, 14_000, 20, SHORT);
      };

  private static final Consumer<RefusalSimulation> LONG_AMONG_SHORT =
      load -> {
        load.arrivals(0, 30_000, 16, SHORT);
        load.arrivals(5_000, 15_000, 6, LONG);
      };

  private static final Consumer<RefusalSimulation> LASTING_OVERLOAD =
      load -> {
        load.arrivals(0, 30_000, 16, SHORT);
        load.arrivals(5_000, 25_000, 60, SHORT);
      };

  /** Results by load, because two tests look at each. */
  private static final Map<Consumer<RefusalSimulation>, Comparison> COMPARISONS =
      new ConcurrentHashMap<>();

  @Test
  void moreCallersAreInTimeDuringBurst() {
    assertMoreInTime(BURST, SEEDS);
  }

  @Test
  void moreCallersAreInTimeDuringWave() {
    assertMoreInTime(WAVE, SEEDS);
  }

  @Test
  void moreCallersAreInTimeBesideSlowEngine() {
    assertMoreInTime(SLOW_ENGINE, SEEDS);
  }

  @Test
  void moreCallersAreInTimeWithLongStreamsAmongShortOnes() {
    assertMoreInTime(LONG_AMONG_SHORT, MANY_SEEDS);
  }

  @Test
  void moreCallersAreInTimeDuringLastingOverload() {
    assertMoreInTime(LASTING_OVERLOAD, SEEDS);
  }

  /** Guards against callers that give way to others and are refused again when they return. */
  @Test
  void noMoreCallersAreRefusedForGoodDuringBurst() {
    assertNoMoreRefused(BURST, SEEDS);
  }

  @Test
  void noMoreCallersAreRefusedForGoodDuringWave() {
    assertNoMoreRefused(WAVE, SEEDS);
  }

  @Test
  void noMoreCallersAreRefusedForGoodBesideSlowEngine() {
    assertNoMoreRefused(SLOW_ENGINE, SEEDS);
  }

  @Test
  void noMoreCallersAreRefusedForGoodWithLongStreamsAmongShortOnes() {
    assertNoMoreRefused(LONG_AMONG_SHORT, MANY_SEEDS);
  }

  /** Guards against callers that are held although they can no longer be in time. */
  @Test
  void refusedCallersAreNotHeldBeyondTheirTarget() {
    for (Call call : play(ServingFeatures.ALL, BURST)) {
      if (call.refusedMillis >= 0) {
        assertTrue(call.heldMillis < SHORT.targetMillis(), "held: " + call.heldMillis);
      }
    }
  }

  /** Guards against a refusal that states "not run" of a request that ran. */
  @Test
  void noRefusalOfRequestThatRan() {
    for (Call call : play(ServingFeatures.ALL, LASTING_OVERLOAD)) {
      assertTrue(!call.refusedAfterRun && call.end != End.OPEN, "end: " + call.end);
    }
  }

  /**
   * Guards against callers that are told to return together, to engines that cannot take them, and
   * against callers that overtake others which were refused before them.
   */
  @Test
  void refusedCallersReturnOneAfterTheOther() {
    List<Call> promised =
        play(ServingFeatures.ALL, BURST).stream()
            .filter(call -> call.returnMillis - call.refusedMillis == call.statedMillis)
            .filter(call -> call.refusedMillis >= 0)
            .toList();
    assertTrue(promised.size() > 20, "promised: " + promised.size());
    // Each interval of an entry's schedule has one return, so a second has one more at most.
    List<Long> returns = promised.stream().map(call -> call.returnMillis).sorted().toList();
    long most =
        returns.stream()
            .mapToLong(from -> returns.stream().filter(at -> isWithinSecond(from, at)).count())
            .max()
            .orElseThrow();
    assertTrue(most <= FREED_PER_SECOND + ENTRIES, "returns within a second: " + most);
    promised.stream()
        .collect(Collectors.groupingBy(call -> call.refusingEntry))
        .values()
        .forEach(RefusalLoadTest::assertReturnInOrder);
  }

  private static void assertReturnInOrder(List<Call> calls) {
    List<Long> returns =
        calls.stream()
            .sorted(Comparator.comparingLong(call -> call.refusedMillis))
            .map(call -> call.returnMillis)
            .toList();
    assertEquals(returns.stream().sorted().toList(), returns);
  }

  private static boolean isWithinSecond(long from, long at) {
    return at >= from && at < from + 1_000;
  }

  /** Entries that have just started have no measurements and no promises. */
  @Test
  void entriesThatRestartDuringBurstStateSaneTimes() {
    RefusalSimulation load = new RefusalSimulation(ServingFeatures.ALL, ENTRIES, ENGINES, 1);
    BURST.accept(load);
    load.runUntil(11_000);
    load.restartEntries();
    load.runUntil(END_MILLIS);
    assertSane(load.calls);
    assertTrue(load.share(End.IN_TIME) > 0.6, "in time: " + load.share(End.IN_TIME));
  }

  /** Half of the engines vanish after callers were told when to return. */
  @Test
  void enginesThatVanishBeforeTheReturnLeaveSaneTimes() {
    RefusalSimulation load = new RefusalSimulation(ServingFeatures.ALL, ENTRIES, ENGINES, 1);
    BURST.accept(load);
    load.runUntil(11_000);
    List.of("e0", "e1", "e2", "e3").forEach(load::remove);
    load.runUntil(END_MILLIS);
    assertSane(load.calls);
  }

  private static void assertSane(List<Call> calls) {
    for (Call call : calls) {
      assertTrue(call.end != End.OPEN && !call.refusedAfterRun);
      if (call.refusedMillis >= 0) {
        assertTrue(call.statedMillis >= 15 && call.statedMillis <= 60_000);
      }
    }
  }

  private static void assertMoreInTime(Consumer<RefusalSimulation> load, int seeds) {
    Comparison shares = compare(load, seeds);
    assertTrue(shares.inTime() > 0, shares.toString());
  }

  private static void assertNoMoreRefused(Consumer<RefusalSimulation> load, int seeds) {
    Comparison shares = compare(load, seeds);
    assertTrue(shares.refused() <= 0, shares.toString());
  }

  /** Compares the same arrivals with and without the forecast. */
  private static Comparison compare(Consumer<RefusalSimulation> load, int seeds) {
    return COMPARISONS.computeIfAbsent(load, each -> playBoth(each, seeds));
  }

  private static Comparison playBoth(Consumer<RefusalSimulation> load, int seeds) {
    double inTime = 0;
    double refused = 0;
    for (int seed = 1; seed <= seeds; seed++) {
      RefusalSimulation with = simulate(ServingFeatures.ALL, load, seed);
      RefusalSimulation without = simulate(WITHOUT, load, seed);
      assertEquals(without.calls.size(), with.calls.size());
      inTime += with.share(End.IN_TIME) - without.share(End.IN_TIME);
      refused += with.share(End.REFUSED) - without.share(End.REFUSED);
    }
    return new Comparison(inTime / seeds, refused / seeds);
  }

  /** By how much the share of callers in time, and of those refused for good, is higher. */
  private record Comparison(double inTime, double refused) {}

  private static List<Call> play(ServingFeatures features, Consumer<RefusalSimulation> load) {
    return simulate(features, load, 1).calls;
  }

  private static RefusalSimulation simulate(
      ServingFeatures features, Consumer<RefusalSimulation> load, long seed) {
    RefusalSimulation simulation = new RefusalSimulation(features, ENTRIES, ENGINES, seed);
    load.accept(simulation);
    simulation.runUntil(END_MILLIS);
    return simulation;
  }
}
