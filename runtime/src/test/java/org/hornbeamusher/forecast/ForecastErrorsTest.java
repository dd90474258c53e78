package org.hornbeamusher.forecast;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.junit.jupiter.api.Test;

class ForecastErrorsTest {

  private static final String SERVICE = "llm";
  private static final long SERVICE_MILLIS = 300;

  /** Of 800 ms, 500 are spent waiting. */
  private static final ForecastErrors.Estimate ESTIMATE =
      new ForecastErrors.Estimate(800, SERVICE_MILLIS);

  private static final EndpointIncarnation SLOW = incarnation("slow");
  private static final EndpointIncarnation FAST = incarnation("fast");

  private final ForecastErrors errors = new ForecastErrors();

  @Test
  void estimateIsExpectedUntilThereAreSamples() {
    assertEquals(
        new FirstEventForecast(800, 800, 0, -1), errors.forecast(SERVICE, SLOW, ESTIMATE, 0));
  }

  /** Guards against one correction for endpoints of different speed. */
  @Test
  void slowEndpointIsForecastLaterThanFastOne() {
    for (int i = 0; i < 40; i++) {
      errors.record(SERVICE, SLOW, ESTIMATE, SERVICE_MILLIS + 1_000, 0);
      errors.record(SERVICE, FAST, ESTIMATE, SERVICE_MILLIS + 500, 0);
    }
    long slow = expected(SLOW, 0);
    long fast = expected(FAST, 0);
    assertTrue(slow > 1_150 && slow <= 1_300, "slow: " + slow);
    assertTrue(fast >= 800 && fast < 900, "fast: " + fast);
  }

  /** Guards against an endpoint that stays avoided for what it was long ago. */
  @Test
  void oldSamplesOfAnEndpointCountLessThanThoseOfItsService() {
    for (int i = 0; i < 40; i++) {
      errors.record(SERVICE, SLOW, ESTIMATE, SERVICE_MILLIS + 1_500, 0);
    }
    for (int i = 0; i < 80; i++) {
      errors.record(SERVICE, FAST, ESTIMATE, SERVICE_MILLIS + 500, 60_000);
    }
    assertEquals(800, expected(SLOW, 60_000), 30);
  }

  /**
   * Guards against queues that grow because only the requests that were served soon are measured.
   */
  @Test
  void shortWaitsDoNotShortenTheForecast() {
    for (int i = 0; i < 40; i++) {
      errors.record(SERVICE, FAST, ESTIMATE, SERVICE_MILLIS, 0);
    }
    assertEquals(800, expected(FAST, 0));
  }

  @Test
  void requestsThatLeftUnservedCountIfTheyWaitedLongerThanEstimated() {
    for (int i = 0; i < 40; i++) {
      errors.recordUnserved(SERVICE, SLOW, ESTIMATE, 700, 0);
    }
    assertEquals(0, errors.forecast(SERVICE, SLOW, ESTIMATE, 0).samples());
    for (int i = 0; i < 40; i++) {
      errors.recordUnserved(SERVICE, SLOW, ESTIMATE, 1_300, 0);
    }
    assertTrue(expected(SLOW, 0) > 1_150);
  }

  private long expected(EndpointIncarnation endpoint, long now) {
    return errors.forecast(SERVICE, endpoint, ESTIMATE, now).expectedMillis();
  }

  private static EndpointIncarnation incarnation(String id) {
    return new EndpointIncarnation(new EndpointId(id), 1);
  }
}
