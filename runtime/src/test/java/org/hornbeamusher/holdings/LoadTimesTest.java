package org.hornbeamusher.holdings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.hornbeamusher.routes.AdapterKey;
import org.junit.jupiter.api.Test;

class LoadTimesTest {

  private static final int PLACES = 14;
  private static final long STORE = 250;
  private static final long COPY = 30;
  private final LoadTimes times = new LoadTimes(PLACES);

  /** Without observations, the figures of other engines apply. */
  @Test
  void nothingSeenIsThePrior() {
    assertEquals(84, times.costs().copies());
    assertEquals(250, times.costs().storeMillis(), 10);
  }

  /**
   * With short runs the next slot is free after 36 ms, not after the initial estimate of 125 ms.
   */
  @Test
  void timeOfUseIsLearntFromTheRunsThemselves() {
    for (int i = 0; i < 60; i++) {
      times.used(504);
    }
    assertEquals(36, times.costs().placeMillis(), 10);
  }

  /** The estimate follows a slower store and its recovery within 40 loads. */
  @Test
  void slowStoreIsFollowedBothWays() {
    for (int i = 0; i < 40; i++) {
      times.loaded(key(i), 1_000);
    }
    assertTrue(times.costs().storeMillis() > 900);
    for (int i = 0; i < 40; i++) {
      times.loaded(key(i), STORE);
    }
    assertTrue(times.costs().storeMillis() < 300);
  }

  /** One load that was executed late hardly reduces the estimated cache size. */
  @Test
  void singleSlowLoadHardlyChangesTheDepth() {
    times.left(key(1));
    times.loaded(key(1), 2_000);
    assertTrue(times.costs().copies() >= 70);
  }

  @Test
  void laterLifeOfTheEngineHasNoCopies() {
    times.left(key(1));
    times.restarted();
    times.loaded(key(1), COPY);
    assertEquals(
        84, times.costs().copies(), "a load after a restart must not change the cache size");
  }

  /**
   * Whatever the initial estimate, the estimated cache size is within 12 adapters of the actual one
   * after 1,500 loads of adapters at all depths.
   */
  @Property(tries = 100, seed = "20261203")
  void depthOfCopiesIsFound(
      @ForAll @IntRange(min = 8, max = 200) int copies, @ForAll @LongRange(min = 0) long seed) {
    LoadTimes learnt = new LoadTimes(PLACES);
    java.util.Random random = new java.util.Random(seed);
    java.util.List<Integer> left = new java.util.ArrayList<>();
    for (int i = 0; i < 300; i++) {
      left.add(i);
      learnt.left(key(i));
    }
    for (int i = 0; i < 1_500; i++) {
      int depth = random.nextInt(240);
      int adapter = left.remove(left.size() - 1 - depth);
      learnt.loaded(key(adapter), depth < copies ? COPY : STORE);
      left.add(adapter);
      learnt.left(key(adapter));
    }
    int believed = learnt.costs().copies();
    assertTrue(Math.abs(believed - copies) <= 12, "estimated " + believed + ", actual " + copies);
  }

  private static AdapterKey key(int number) {
    return new AdapterKey("m", "a" + number);
  }
}
