package org.hornbeamusher.clock;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class SuspendAwareClockTest {

  private final ManualClock monotonic = new ManualClock(1_000);
  private final ManualClock wallClock = new ManualClock(50_000);
  private final SuspendAwareClock clock = new SuspendAwareClock(monotonic, wallClock);

  /** Guards against time in suspension not being counted, which made an old proof appear recent. */
  @Test
  void suspensionIsCounted() {
    long before = clock.millis();
    wallClock.advance(4_000);
    assertEquals(4_000, clock.millis() - before);
    monotonic.advance(10);
    wallClock.advance(10);
    assertEquals(4_010, clock.millis() - before);
  }

  /**
   * Guards against a backward step of the wall clock being subtracted, which made old proofs appear
   * recent.
   */
  @Test
  void backwardStepSubtractsNothing() {
    long before = clock.millis();
    monotonic.advance(100);
    wallClock.set(10_000);
    assertEquals(100, clock.millis() - before);
    wallClock.advance(3_000);
    assertEquals(3_100, clock.millis() - before);
  }
}
