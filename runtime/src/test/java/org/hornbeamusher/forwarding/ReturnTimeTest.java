package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.hornbeamusher.failure.FailureType;
import org.junit.jupiter.api.Test;

class ReturnTimeTest {

  /** Every place is held for seconds; sent back at once, a caller would be refused once more. */
  @Test
  void callerThatFindsNoPlaceComesBackAfterQuarterOfItsTime() {
    assertEquals(800, ReturnTime.millis(FailureType.LOAD_TOO_LATE, 3_200));
    assertEquals(800, ReturnTime.millis(FailureType.DEADLINE_TOO_NEAR, 3_200));
  }

  @Test
  void callerWithMuchTimeComesBackWhenRunsHaveEnded() {
    assertEquals(2_500, ReturnTime.millis(FailureType.LOAD_TOO_LATE, 11_400));
  }

  @Test
  void callerComesBackForTheNextListWhenNoEndpointIsKnown() {
    assertEquals(400, ReturnTime.millis(FailureType.NO_ENDPOINT, 11_400));
    assertEquals(400, ReturnTime.millis(FailureType.NO_ENDPOINT, 100));
  }

  /** A time that has passed is no time to come back. */
  @Test
  void timeIsNeverNegative() {
    assertEquals(15, ReturnTime.millis(FailureType.LOAD_TOO_LATE, -50));
  }
}
