package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class RetryBudgetRestartTest {

  private static final int WINDOW_MILLIS = 10_000;
  private static final ServiceRetrySettings SETTINGS =
      new ServiceRetrySettings(0.2, 54, WINDOW_MILLIS);
  private static final int ENTRIES = 4;
  private static final double REQUESTS_PER_SECOND = 40;

  /** Guards against entries that retry anew after each start while the others' windows go on. */
  @Test
  @org.junit.jupiter.api.Tag("known-red")
  void entriesRestartedInSeriesStayWithinTheBudget() {
    RetryBudgetSimulation simulation = new RetryBudgetSimulation(SETTINGS, ENTRIES, 1);
    simulation.refuse(2 * WINDOW_MILLIS, REQUESTS_PER_SECOND, ENTRIES);
    for (int series = 0; series < 4; series++) {
      for (int entry = 0; entry < ENTRIES; entry++) {
        simulation.restart(entry);
        simulation.refuse(500, REQUESTS_PER_SECOND, ENTRIES);
      }
    }
    simulation.refuse(2 * WINDOW_MILLIS, REQUESTS_PER_SECOND, ENTRIES);
    double excess = simulation.maximumExcess();
    assertTrue(excess <= 0, "over the budget by " + excess);
  }

  /** Guards against restarts at any times adding up, whatever the traffic and their number. */
  @Property(tries = 100, seed = "42")
  @Tag("known-red")
  void restartsAtAnyTimeDoNotAddUp(
      @ForAll @LongRange(min = 1, max = 1_000) long seed,
      @ForAll @IntRange(min = 1, max = 40) int entries,
      @ForAll @DoubleRange(min = 1, max = 200) double perSecond,
      @ForAll @IntRange(min = 50, max = 5_000) int pauseMillis) {
    RetryBudgetSimulation simulation = new RetryBudgetSimulation(SETTINGS, entries, seed);
    simulation.refuse(WINDOW_MILLIS, perSecond, entries);
    for (int start = 0; start < 30; start++) {
      simulation.restart(start % entries);
      simulation.refuse(pauseMillis, perSecond, entries);
    }
    double excess = simulation.maximumExcess();
    assertTrue(excess <= 0, "over the budget by " + excess);
  }

  /** Guards against callers that move to other entries using the same share of the window twice. */
  @Test
  @org.junit.jupiter.api.Tag("known-red")
  void callersThatMoveToOtherEntriesDoNotRaiseTheBudget() {
    RetryBudgetSimulation simulation = new RetryBudgetSimulation(SETTINGS, ENTRIES, 1);
    simulation.serve(2 * WINDOW_MILLIS, 10 * REQUESTS_PER_SECOND);
    simulation.refuse(200, 10 * REQUESTS_PER_SECOND, ENTRIES);
    simulation.refuse(WINDOW_MILLIS, 10 * REQUESTS_PER_SECOND, 1);
    double excess = simulation.maximumExcess();
    assertTrue(excess <= 0, "over the budget by " + excess);
  }

  /** Guards against a budget that is left unused although endpoints go on refusing. */
  @Test
  void steadyEntriesUseMostOfTheBudget() {
    RetryBudgetSimulation simulation = new RetryBudgetSimulation(SETTINGS, ENTRIES, 1);
    simulation.refuse(4 * WINDOW_MILLIS, REQUESTS_PER_SECOND, ENTRIES);
    double budget = 0.2 * REQUESTS_PER_SECOND * WINDOW_MILLIS / 1_000 + 54;
    int used = simulation.retriesIn(2 * WINDOW_MILLIS, 3 * WINDOW_MILLIS);
    assertTrue(used >= 0.6 * budget, used + " of " + budget);
  }
}
