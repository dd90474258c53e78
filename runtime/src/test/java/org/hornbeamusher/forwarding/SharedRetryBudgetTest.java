package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class SharedRetryBudgetTest {

  private static final int WINDOW_MILLIS = 10_000;
  private static final ServiceRetrySettings SETTINGS =
      new ServiceRetrySettings(0.2, 54, WINDOW_MILLIS);
  private static final String SERVICE = "s";
  private static final int ENTRIES = 4;
  private static final double REQUESTS_PER_SECOND = 40;

  /** Guards against entries that retry anew after each start while the others' windows go on. */
  @Test
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
  void callersThatMoveToOtherEntriesDoNotRaiseTheBudget() {
    RetryBudgetSimulation simulation = new RetryBudgetSimulation(SETTINGS, ENTRIES, 1);
    simulation.serve(2 * WINDOW_MILLIS, 10 * REQUESTS_PER_SECOND);
    simulation.refuse(200, 10 * REQUESTS_PER_SECOND, ENTRIES);
    simulation.refuse(WINDOW_MILLIS, 10 * REQUESTS_PER_SECOND, 1);
    double excess = simulation.maximumExcess();
    assertTrue(excess <= 0, "over the budget by " + excess);
  }

  /** Guards against retries of several windows that wait for loads and arrive together. */
  @Property(tries = 50, seed = "42")
  void retriesThatWaitStayWithinTheBudget(
      @ForAll @LongRange(min = 1, max = 1_000) long seed,
      @ForAll @IntRange(min = 1, max = 40) int entries,
      @ForAll @IntRange(min = 1_000, max = 15_000) int releaseMillis) {
    RetryBudgetSimulation simulation =
        new RetryBudgetSimulation(SETTINGS, entries, seed, releaseMillis);
    simulation.refuse(4 * WINDOW_MILLIS, REQUESTS_PER_SECOND, entries);
    double excess = simulation.maximumExcess();
    assertTrue(excess <= 0, "over the budget by " + excess);
  }

  /** Guards against a budget that is left unused although endpoints go on refusing. */
  @Test
  void entriesUseMostOfTheBudgetOfEachWindow() {
    RetryBudgetSimulation simulation = new RetryBudgetSimulation(SETTINGS, ENTRIES, 1);
    simulation.serve(2 * WINDOW_MILLIS, REQUESTS_PER_SECOND);
    simulation.refuse(3 * WINDOW_MILLIS, REQUESTS_PER_SECOND, ENTRIES);
    double budget = 0.2 * REQUESTS_PER_SECOND * WINDOW_MILLIS / 1_000 + 54;
    for (int window = 2; window < 5; window++) {
      int used = simulation.retriesIn(window * WINDOW_MILLIS, (window + 1) * WINDOW_MILLIS);
      assertTrue(used >= 0.6 * budget, used + " of " + budget);
    }
    double excess = simulation.maximumExcess();
    assertTrue(excess <= 0, "over the budget by " + excess);
  }

  @Test
  void retriesAreEarnedOverTheWindow() {
    SharedRetryBudget budget =
        new SharedRetryBudget(new ServiceRetrySettings(0, 8, WINDOW_MILLIS), 0);
    int granted = 0;
    for (int now = 0; now <= 4 * WINDOW_MILLIS; now += 10) {
      if (budget.tryTake(SERVICE, 1, now)) {
        budget.retrySent(SERVICE);
        granted++;
      }
    }
    assertEquals(24, granted);
  }

  @Test
  void onlyTheLatestPartOfWhatAnIdleEntryEarnedIsSaved() {
    SharedRetryBudget budget =
        new SharedRetryBudget(new ServiceRetrySettings(0, 16, WINDOW_MILLIS), 0);
    int granted = 0;
    while (budget.tryTake(SERVICE, 1, 9 * WINDOW_MILLIS)) {
      budget.retrySent(SERVICE);
      granted++;
    }
    assertEquals(3, granted);
  }

  @Test
  void retryThatIsNotSentIsReturned() {
    SharedRetryBudget budget =
        new SharedRetryBudget(new ServiceRetrySettings(0, 4, WINDOW_MILLIS), 0);
    assertTrue(budget.tryTake(SERVICE, 1, WINDOW_MILLIS));
    assertFalse(budget.tryTake(SERVICE, 1, WINDOW_MILLIS));
    budget.retryUnused(SERVICE);
    assertTrue(budget.tryTake(SERVICE, 1, WINDOW_MILLIS));
  }

  @Test
  void retriesOfOneServiceDoNotUseUpThoseOfAnother() {
    SharedRetryBudget budget =
        new SharedRetryBudget(new ServiceRetrySettings(0, 4, WINDOW_MILLIS), 0);
    assertTrue(budget.tryTake(SERVICE, 1, WINDOW_MILLIS));
    assertTrue(budget.tryTake("other", 1, WINDOW_MILLIS));
  }

  /** Guards against a share so small that it never adds up to one retry. */
  @Test
  void entryWithSmallShareRetriesOnceInSomeWindows() {
    SharedRetryBudget budget =
        new SharedRetryBudget(new ServiceRetrySettings(0, 4, WINDOW_MILLIS), 0);
    assertFalse(budget.tryTake(SERVICE, 30, WINDOW_MILLIS));
    assertTrue(budget.tryTake(SERVICE, 30, 10 * WINDOW_MILLIS));
  }
}
