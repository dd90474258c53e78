package org.hornbeamusher.forecast;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class ReturnPlannerTest {

  private static final String SERVICE = "llm";
  private static final long SERVICE_MILLIS = 300;

  private final ReturnPlanner planner = new ReturnPlanner();

  /** Half of ten slots a second are taken by new requests, so five are left for those refused. */
  @Test
  void callersReturnAtTheRateThatNewRequestsLeave() {
    for (long now = 0; now < 2_000; now += 200) {
      planner.taken(SERVICE, Capacity.ADAPTER_SLOT, now);
    }
    assertEquals(5, plan(15_000, 20, 2, 1_900).perSecond(), 0.01);
    assertEquals(215, plan(15_000, 20, 2, 1_900).time().millis());
    assertEquals(415, plan(15_000, 20, 2, 1_900).time().millis());
  }

  /** Guards against refused callers that never return while new ones take all capacity. */
  @Test
  void partOfTheCapacityIsLeftToRefusedCallers() {
    for (long now = 0; now < 2_000; now += 50) {
      planner.taken(SERVICE, Capacity.ADAPTER_SLOT, now);
    }
    assertEquals(5, plan(15_000, 20, 1, 1_950).perSecond(), 0.01);
  }

  @Test
  void capacitiesAreScheduledIndependently() {
    plan(15_000, 1, 1, 0);
    ReturnPlanner.Refused other =
        new ReturnPlanner.Refused(SERVICE, Capacity.REQUEST_SLOT, 0, 0, 15_000, 0);
    assertEquals(
        ReturnPlanner.MIN_RETURN_MILLIS,
        planner.plan(other, new ReturnPlanner.FreedCapacity(1, 1), 0, 0).time().millis());
  }

  /** Guards against a return to the same running requests that the caller met before. */
  @Test
  void callerReturnsAfterThoseThatRanAndWaited() {
    assertEquals(1_000, planAfterRuns(500, 15_000));
    // Three quarters of a third of its time; the rest spreads the returns.
    assertEquals(750, planAfterRuns(500, 3_000));
  }

  private long planAfterRuns(long runMillis, long timeLeft) {
    return new ReturnPlanner()
        .plan(
            new ReturnPlanner.Refused(SERVICE, Capacity.ADAPTER_SLOT, 0, runMillis, timeLeft, 0),
            new ReturnPlanner.FreedCapacity(100, 1),
            0,
            0)
        .time()
        .millis();
  }

  /** Guards against a promise that leaves the caller no time to be served. */
  @Test
  void callerWithoutTimeToBeServedGetsNoPromise() {
    assertInstanceOf(ReturnTime.TooLate.class, plan(310, 100, 1, 0).time());
    assertInstanceOf(ReturnTime.TooLate.class, plan(-50, 100, 1, 0).time());
  }

  /**
   * An entry that has just started has measured nothing, and may know no endpoint. It must state a
   * time that is sane whatever is reported.
   */
  @Property(tries = 300, seed = "42")
  void timesAreSaneWithoutMeasurements(
      @ForAll @LongRange(min = -1_000, max = 60_000) long timeLeft,
      @ForAll @LongRange(max = 20_000) long queue,
      @ForAll @LongRange(max = 20_000) long run,
      @ForAll @DoubleRange(max = 10_000) double freedPerSecond,
      @ForAll @IntRange(max = 400) int entries,
      @ForAll @DoubleRange(max = 1, maxIncluded = false) double position) {
    ReturnPlanner.Refused refused =
        new ReturnPlanner.Refused(
            SERVICE, Capacity.ADAPTER_SLOT, queue, run, timeLeft, SERVICE_MILLIS);
    ReturnTime time =
        planner
            .plan(refused, new ReturnPlanner.FreedCapacity(freedPerSecond, entries), position, 0)
            .time();
    assertTrue(time.millis() >= ReturnPlanner.MIN_RETURN_MILLIS, time.toString());
    assertTrue(time.millis() <= ReturnPlanner.MAX_RETURN_MILLIS, time.toString());
    if (time instanceof ReturnTime.Promised) {
      assertTrue(time.millis() >= queue, time.toString());
      assertTrue(time.millis() <= timeLeft / 3 && time.millis() <= timeLeft - SERVICE_MILLIS);
    }
  }

  private ReturnPlanner.Plan plan(long timeLeft, double freedPerSecond, int entries, long now) {
    return planner.plan(
        new ReturnPlanner.Refused(SERVICE, Capacity.ADAPTER_SLOT, 0, 0, timeLeft, SERVICE_MILLIS),
        new ReturnPlanner.FreedCapacity(freedPerSecond, entries),
        0,
        now);
  }
}
