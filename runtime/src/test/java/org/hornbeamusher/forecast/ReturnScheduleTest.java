package org.hornbeamusher.forecast;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class ReturnScheduleTest {

  private static final double MILLIS_PER_SECOND = 1_000;

  @Test
  void callersRefusedTogetherReturnOneAfterTheOther() {
    ReturnSchedule schedule = new ReturnSchedule();
    List<Long> delays = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      delays.add(schedule.next(1_000, 0, 5_000, 5, 0.5).millis());
    }
    assertEquals(List.of(100L, 300L, 500L, 700L), delays);
    assertEquals(800, schedule.promisedMillis(1_000));
    assertEquals(0, schedule.promisedMillis(1_800));
  }

  /** Guards against capacity that is set aside for a caller whose deadline passes before. */
  @Test
  void intervalThatCallerCannotUseIsLeftToTheNext() {
    ReturnSchedule schedule = new ReturnSchedule();
    schedule.next(0, 0, 5_000, 1, 0);
    assertEquals(new ReturnTime.TooLate(1_000), schedule.next(0, 0, 999, 1, 0));
    assertEquals(new ReturnTime.Promised(1_000), schedule.next(0, 0, 1_000, 1, 0));
  }

  /** No endpoint is known any more; the time must stay finite and come after those promised. */
  @Test
  void timeIsFiniteWithoutAnyCapacity() {
    ReturnSchedule schedule = new ReturnSchedule();
    schedule.next(0, 0, 60_000, 10, 0);
    ReturnTime time = schedule.next(0, 0, 60_000, 0, 0.9);
    assertInstanceOf(ReturnTime.Promised.class, time);
    assertTrue(time.millis() >= 100 && time.millis() <= 10_100, time.toString());
  }

  /** Guards against callers that are told to return together and are refused together. */
  @Property(tries = 300, seed = "42")
  void noIntervalGetsMoreReturnsThanCapacity(
      @ForAll @Size(min = 2, max = 60) List<@IntRange(max = 300) Integer> gaps,
      @ForAll @DoubleRange(min = 0.2, max = 100) double perSecond,
      @ForAll @LongRange(max = 3_000) long earliest,
      @ForAll @LongRange(max = 5_000) long latest,
      @ForAll @Size(min = 60, max = 60)
          List<@DoubleRange(max = 1, maxIncluded = false) Double> positions) {
    ReturnSchedule schedule = new ReturnSchedule();
    List<Long> returns = new ArrayList<>();
    long now = 0;
    for (int i = 0; i < gaps.size(); i++) {
      now += gaps.get(i);
      ReturnTime time = schedule.next(now, earliest, latest, perSecond, positions.get(i));
      if (time instanceof ReturnTime.Promised) {
        assertTrue(time.millis() >= earliest && time.millis() <= latest, time.toString());
        returns.add(now + time.millis());
      }
    }
    // Those who were refused first return first.
    assertEquals(returns.stream().sorted().toList(), returns);
    // Positions within two intervals may bring two returns together, never more.
    double interval = MILLIS_PER_SECOND / perSecond;
    for (int i = 2; i < returns.size(); i++) {
      assertTrue(returns.get(i) - returns.get(i - 2) >= interval - 2, returns.toString());
    }
  }
}
