package org.hornbeamusher.ratelimit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class EndpointRateLimitTest {

  private static final AdvertisedRateLimit NONE = new AdvertisedRateLimit.None();

  private final EndpointRateLimit limit = new EndpointRateLimit();

  @Test
  void limitAppliesUntilLaterResponseHasNone() {
    assertTrue(limit.recordResponse(new AdvertisedRateLimit.PerSecond(2), true, 0, 100));
    assertEquals(OptionalDouble.of(2), limit.requestsPerSecond());
    assertFalse(limit.recordResponse(new AdvertisedRateLimit.PerSecond(2), true, 50, 120));
    assertTrue(limit.recordResponse(NONE, true, 121, 200));
    assertEquals(OptionalDouble.empty(), limit.requestsPerSecond());
  }

  /** Guards against lifting a limit by a response that was written before it but arrived later. */
  @Test
  void responseToEarlierRequestDoesNotLiftLimit() {
    limit.recordResponse(new AdvertisedRateLimit.PerSecond(2), true, 0, 100);
    assertFalse(limit.recordResponse(NONE, true, 99, 300));
  }

  /** Guards against overloading a rate-limited endpoint after a refusal without the header. */
  @Test
  void failureDoesNotLiftLimit() {
    limit.recordResponse(new AdvertisedRateLimit.PerSecond(2), true, 0, 100);
    assertFalse(limit.recordResponse(NONE, false, 200, 300));
  }

  @Test
  void invalidLimitIsIgnored() {
    assertFalse(limit.recordResponse(new AdvertisedRateLimit.Unreadable(), true, 0, 50));
    limit.recordResponse(new AdvertisedRateLimit.PerSecond(2), true, 60, 100);
    assertFalse(limit.recordResponse(new AdvertisedRateLimit.Unreadable(), true, 200, 300));
  }
}
