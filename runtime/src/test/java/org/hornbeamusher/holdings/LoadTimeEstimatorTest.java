package org.hornbeamusher.holdings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.hornbeamusher.routes.AdapterKey;
import org.junit.jupiter.api.Test;

class LoadTimeEstimatorTest {

  private static final int SLOTS = 14;
  private static final long STORE_MILLIS = 250;
  private static final long CACHED_MILLIS = 30;
  private final LoadTimeEstimator times = new LoadTimeEstimator(SLOTS);

  /** Without observations, the costs of other engines apply. */
  @Test
  void initialEstimateWithoutObservations() {
    assertEquals(84, times.costs().cachedAdapters());
    assertEquals(250, times.costs().storeLoadMillis(), 10);
  }

  /**
   * With short runs the next slot is free after 36 ms, not after the initial estimate of 125 ms.
   */
  @Test
  void slotWaitFollowsTimeOfUse() {
    for (int i = 0; i < 60; i++) {
      times.useEnded(504);
    }
    assertEquals(36, times.costs().slotWaitMillis(), 10);
  }

  /** The estimate follows a slower store and its recovery within 40 loads. */
  @Test
  void storeTimeFollowsSlowdownAndRecovery() {
    for (int i = 0; i < 40; i++) {
      times.loadCompleted(key(i), 1_000);
    }
    assertTrue(times.costs().storeLoadMillis() > 900);
    for (int i = 0; i < 40; i++) {
      times.loadCompleted(key(i), STORE_MILLIS);
    }
    assertTrue(times.costs().storeLoadMillis() < 300);
  }

  /** One load that was executed late hardly reduces the estimated cache size. */
  @Test
  void singleSlowLoadHardlyChangesCacheSize() {
    times.unloaded(key(1));
    times.loadCompleted(key(1), 2_000);
    assertTrue(times.costs().cachedAdapters() >= 70);
  }

  @Test
  void restartClearsUnloadedAdapters() {
    times.unloaded(key(1));
    times.engineRestarted();
    times.loadCompleted(key(1), CACHED_MILLIS);
    assertEquals(
        84,
        times.costs().cachedAdapters(),
        "a load after a restart must not change the cache size");
  }

  /**
   * Whatever the initial estimate, the estimated cache size is within 12 adapters of the actual one
   * after 1,500 loads of adapters at all depths.
   */
  @Property(tries = 100, seed = "20261203")
  void cacheSizeConverges(
      @ForAll @IntRange(min = 8, max = 200) int cacheSize, @ForAll @LongRange(min = 0) long seed) {
    LoadTimeEstimator estimator = new LoadTimeEstimator(SLOTS);
    java.util.Random random = new java.util.Random(seed);
    java.util.List<Integer> unloaded = new java.util.ArrayList<>();
    for (int i = 0; i < 300; i++) {
      unloaded.add(i);
      estimator.unloaded(key(i));
    }
    for (int i = 0; i < 1_500; i++) {
      int depth = random.nextInt(240);
      int adapter = unloaded.remove(unloaded.size() - 1 - depth);
      estimator.loadCompleted(key(adapter), depth < cacheSize ? CACHED_MILLIS : STORE_MILLIS);
      unloaded.add(adapter);
      estimator.unloaded(key(adapter));
    }
    int estimated = estimator.costs().cachedAdapters();
    assertTrue(
        Math.abs(estimated - cacheSize) <= 12, "estimated " + estimated + ", actual " + cacheSize);
  }

  private static AdapterKey key(int number) {
    return new AdapterKey("m", "a" + number);
  }
}
