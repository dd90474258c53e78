package org.hornbeamusher.documents;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class PollPlanTest {

  private final PollPlan plan = PollPlan.STANDARD;

  @Test
  void fewEntriesPollEverySecond() {
    assertEquals(1_000, plan.intervalMillis(6));
  }

  @Test
  void fourHundredEntriesTogetherMakeTwentyReadsPerSecond() {
    assertEquals(20_000, plan.intervalMillis(400));
  }

  @Test
  void outageDoublesTheDelayUpToItsBound() {
    assertEquals(1_000, plan.delayMillis(3, 0, 0.5));
    assertEquals(8_000, plan.delayMillis(3, 3, 0.5));
    assertEquals(30_000, plan.delayMillis(3, 9, 0.5));
  }

  /**
   * All processes restart at once. If the first polls were not spread, 400 entries would each read
   * every document within the same second.
   */
  @Property(seed = "31", tries = 200)
  void firstPollsAfterFullRestartAreSpreadOverOneInterval(
      @ForAll @DoubleRange(min = 0, max = 1) double random) {
    long delay = plan.firstDelayMillis(400, random);

    assertEquals(Math.round(20_000 * random), delay);
  }

  @Property(seed = "32", tries = 500)
  void delaysStayBetweenHalfAndOneAndHalfIntervals(
      @ForAll @IntRange(min = 1, max = 2_000) int pollers,
      @ForAll @IntRange(max = 1_000) int failures,
      @ForAll @DoubleRange(min = 0, max = 1) double random) {
    long delay = plan.delayMillis(pollers, failures, random);

    long longest = Math.max(plan.intervalMillis(pollers), plan.maximumBackoffMillis());
    assertTrue(delay >= plan.intervalMillis(pollers) / 2 && delay <= longest * 3 / 2 + 1);
  }
}
