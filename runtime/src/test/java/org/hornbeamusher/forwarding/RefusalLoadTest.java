package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.hornbeamusher.features.ServingFeature;
import org.hornbeamusher.features.ServingFeatures;
import org.hornbeamusher.forwarding.RefusalSimulation.Call;
import org.hornbeamusher.forwarding.RefusalSimulation.CallType;
import org.hornbeamusher.forwarding.RefusalSimulation.End;
import org.junit.jupiter.api.Test;

/**
 * What callers get when more of them need an adapter loaded than slots become free, with the
 * forecast and without it. Four engines free about fifteen adapter slots a second.
 */
class RefusalLoadTest {

  private static final ServingFeatures WITHOUT =
      new ServingFeatures(Set.of(ServingFeature.FORECAST));
  private static final CallType SHORT = new CallType(800, 15_000, 1_300, 800);
  private static final CallType LONG = new CallType(1_000, 5_000, 3_000, 9_000);

  private static final int ENGINES = 4;
  private static final int SEEDS = 10;
  private static final long END_MILLIS = 60_000;

  /** Half of the capacity is used; for two seconds three times the capacity is asked for. */
  private static final Consumer<RefusalSimulation> BURST =
      load -> {
        load.arrivals(0, 30_000, 8, SHORT);
        load.arrivals(10_000, 12_000, 37, SHORT);
      };

  private static final Consumer<RefusalSimulation> WAVE =
      load -> {
        load.arrivals(0, 30_000, 8, SHORT);
        load.arrivals(5_000, 15_000, 5, SHORT);
        load.arrivals(7_000, 13_000, 5, SHORT);
      };

  private static final Consumer<RefusalSimulation> SLOW_ENGINE =
      load -> {
        load.slowDown("e0", 3);
        load.arrivals(0, 30_000, 8, SHORT);
        load.arrivals(10_000, 14_000, 10, SHORT);
      };

  private static final Consumer<RefusalSimulation> LONG_AMONG_SHORT =
      load -> {
        load.arrivals(0, 30_000, 8, SHORT);
        load.arrivals(5_000, 15_000, 3, LONG);
      };

  private static final Consumer<RefusalSimulation> LASTING_OVERLOAD =
      load -> {
        load.arrivals(0, 30_000, 8, SHORT);
        load.arrivals(5_000, 25_000, 30, SHORT);
      };

  @Test
  void moreCallersAreInTimeDuringBurst() {
    assertServedBetter(BURST);
  }

  @Test
  void moreCallersAreInTimeDuringWave() {
    assertServedBetter(WAVE);
  }

  @Test
  void moreCallersAreInTimeBesideSlowEngine() {
    assertServedBetter(SLOW_ENGINE);
  }

  @Test
  void moreCallersAreInTimeWithLongStreamsAmongShortOnes() {
    assertServedBetter(LONG_AMONG_SHORT);
  }

  @Test
  void moreCallersAreInTimeDuringLastingOverload() {
    assertServedBetter(LASTING_OVERLOAD);
  }

  /** Guards against callers that wait although they can no longer be in time. */
  @Test
  void refusedCallersAreNotHeldBeyondTheirTarget() {
    long loadMillis = 250;
    for (Call call : play(ServingFeatures.ALL, BURST)) {
      if (call.refusedMillis >= 0) {
        assertTrue(
            call.heldMillis <= SHORT.targetMillis() - loadMillis, "held: " + call.heldMillis);
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
    // An entry that takes all fifteen slots a second for new requests leaves a quarter of them.
    List<Long> returns = promised.stream().map(call -> call.returnMillis).sorted().toList();
    int most =
        IntStream.range(0, returns.size())
            .map(
                i ->
                    (int) returns.stream().filter(at -> isWithinSecond(returns.get(i), at)).count())
            .max()
            .orElseThrow();
    assertTrue(most <= 16, "returns within a second: " + most);
  }

  private static boolean isWithinSecond(long from, long at) {
    return at >= from && at < from + 1_000;
  }

  /** An entry that has just started has no measurements and no promises. */
  @Test
  void entryThatRestartsDuringBurstStatesSaneTimes() {
    RefusalSimulation load = new RefusalSimulation(ServingFeatures.ALL, ENGINES, 1);
    BURST.accept(load);
    load.runUntil(11_000);
    load.restartEntry();
    load.runUntil(END_MILLIS);
    assertSane(load.calls);
    assertTrue(load.share(End.IN_TIME) > 0.6, "in time: " + load.share(End.IN_TIME));
  }

  /** Half of the engines vanish after callers were told when to return. */
  @Test
  void enginesThatVanishBeforeTheReturnLeaveSaneTimes() {
    RefusalSimulation load = new RefusalSimulation(ServingFeatures.ALL, ENGINES, 1);
    BURST.accept(load);
    load.runUntil(11_000);
    load.remove("e0");
    load.remove("e1");
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

  /** Compares the same arrivals with and without the forecast. */
  private static void assertServedBetter(Consumer<RefusalSimulation> load) {
    double inTime = 0;
    double served = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      RefusalSimulation with = simulate(ServingFeatures.ALL, load, seed);
      RefusalSimulation without = simulate(WITHOUT, load, seed);
      assertEquals(without.calls.size(), with.calls.size());
      inTime += with.share(End.IN_TIME) - without.share(End.IN_TIME);
      served += without.share(End.REFUSED) - with.share(End.REFUSED);
    }
    String text = "in time %+.3f, served %+.3f".formatted(inTime / SEEDS, served / SEEDS);
    System.out.println(text);
    assertTrue(inTime > 0 && served >= 0, text);
  }

  private static List<Call> play(ServingFeatures features, Consumer<RefusalSimulation> load) {
    return simulate(features, load, 1).calls;
  }

  private static RefusalSimulation simulate(
      ServingFeatures features, Consumer<RefusalSimulation> load, long seed) {
    RefusalSimulation simulation = new RefusalSimulation(features, ENGINES, seed);
    load.accept(simulation);
    simulation.runUntil(END_MILLIS);
    return simulation;
  }
}
