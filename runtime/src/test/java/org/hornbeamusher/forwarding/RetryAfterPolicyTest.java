package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.hornbeamusher.failure.FailureType;
import org.junit.jupiter.api.Test;

class RetryAfterPolicyTest {

  /** All slots are held for seconds; a caller that retried at once would be refused again. */
  @Test
  void callerWithoutSlotRetriesAfterQuarterOfItsTime() {
    assertEquals(800, RetryAfterPolicy.millis(FailureType.LOAD_TOO_LATE, 3_200));
    assertEquals(800, RetryAfterPolicy.millis(FailureType.DEADLINE_TOO_NEAR, 3_200));
  }

  @Test
  void callerWithMuchTimeRetriesAfterTheMaximum() {
    assertEquals(2_500, RetryAfterPolicy.millis(FailureType.LOAD_TOO_LATE, 11_400));
  }

  @Test
  void callerRetriesAfterTheNextListWhenNoEndpointIsKnown() {
    assertEquals(400, RetryAfterPolicy.millis(FailureType.NO_ENDPOINT, 11_400));
    assertEquals(400, RetryAfterPolicy.millis(FailureType.NO_ENDPOINT, 100));
  }

  /** Guards against a negative Retry-After once the deadline has passed. */
  @Test
  void timeIsNeverNegative() {
    assertEquals(15, RetryAfterPolicy.millis(FailureType.LOAD_TOO_LATE, -50));
  }
}
