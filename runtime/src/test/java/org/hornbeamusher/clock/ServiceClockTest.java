package org.hornbeamusher.clock;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ServiceClockTest {

  private static final long WALL_MILLIS = 1_764_000_000_000L;
  private static final long SERVICE_MILLIS = 500_000;

  private final ManualClock monotonic = new ManualClock(1_000);
  private final ServiceClock clock = new ServiceClock(monotonic, () -> WALL_MILLIS);

  @Test
  void wallClockIsUsedUntilTheServiceStatesItsTime() {
    assertEquals(WALL_MILLIS, clock.millis());
    clock.observe(SERVICE_MILLIS);
    assertEquals(SERVICE_MILLIS, clock.millis());
    monotonic.advance(250);
    assertEquals(SERVICE_MILLIS + 250, clock.millis());
  }

  /** Guards against times that step back while the service is slow. */
  @Test
  void slowResponsesDoNotMoveTheClock() {
    clock.observe(SERVICE_MILLIS);
    for (int i = 0; i < 10; i++) {
      monotonic.advance(1_000);
      clock.observe(SERVICE_MILLIS + i * 1_000L);
      assertEquals(SERVICE_MILLIS + (i + 1) * 1_000L, clock.millis());
    }
  }

  /** Guards against a clock that keeps the time of a service that was restored from a copy. */
  @Test
  void clockFollowsServiceWhoseClockWasReset() {
    clock.observe(SERVICE_MILLIS);
    clock.observe(5);
    assertEquals(5, clock.millis());
  }
}
