package org.hornbeamusher.clock;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class SuspendAwareClockTest {

  private final ManualClock steady = new ManualClock(1_000);
  private final ManualClock timeOfDay = new ManualClock(50_000);
  private final SuspendAwareClock clock = new SuspendAwareClock(steady, timeOfDay);

  /** A suspended machine took an old proof for a young one. */
  @Test
  void suspensionCounts() {
    long before = clock.millis();
    timeOfDay.advance(4_000);
    assertEquals(4_000, clock.millis() - before);
    steady.advance(10);
    timeOfDay.advance(10);
    assertEquals(4_010, clock.millis() - before);
  }

  /** A time of day that is set back made old proofs young again. */
  @Test
  void stepBackTakesNothingOff() {
    long before = clock.millis();
    steady.advance(100);
    timeOfDay.set(10_000);
    assertEquals(100, clock.millis() - before);
    timeOfDay.advance(3_000);
    assertEquals(3_100, clock.millis() - before);
  }
}
