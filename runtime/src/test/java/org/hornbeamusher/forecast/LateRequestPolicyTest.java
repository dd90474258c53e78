package org.hornbeamusher.forecast;

import static org.hornbeamusher.forecast.LateRequestPolicy.Decision.DEADLINE_MISSED;
import static org.hornbeamusher.forecast.LateRequestPolicy.Decision.GIVES_WAY;
import static org.hornbeamusher.forecast.LateRequestPolicy.Decision.HELD;
import static org.hornbeamusher.forecast.LateRequestPolicy.Decision.PLACED;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class LateRequestPolicyTest {

  private static final long IN_TIME = 1_000 + LateRequestPolicy.KNOWLEDGE_AGE_MILLIS;
  private static final long SERVICE_MILLIS = 300;
  private static final long IN_TIME_AT_ONCE =
      SERVICE_MILLIS + LateRequestPolicy.KNOWLEDGE_AGE_MILLIS;
  private static final FirstEventForecast FORECAST = new FirstEventForecast(900, 1_000, 9, 50);

  @Test
  void requestThatCannotBeServedIsRefusedAtOnce() {
    assertEquals(DEADLINE_MISSED, decide(0, 899, false, true));
    assertEquals(PLACED, decide(0, 900, false, true));
  }

  /** Guards against queues as long as the target latency, in which every request is late. */
  @Test
  void lateRequestGivesWayWhereOthersWait() {
    assertEquals(PLACED, decide(IN_TIME, 5_000, true, true));
    assertEquals(HELD, decide(IN_TIME - 1, 5_000, true, true));
    assertEquals(HELD, decide(IN_TIME_AT_ONCE, 5_000, true, true));
    assertEquals(GIVES_WAY, decide(IN_TIME_AT_ONCE - 1, 5_000, true, true));
  }

  @Test
  void lateRequestIsServedWhereNothingElseWaits() {
    assertEquals(PLACED, decide(-100, 5_000, false, true));
  }

  /** Guards against a request that may have run and ends as a failure although it can be served. */
  @Test
  void requestThatMayHaveRunIsNotRefusedForBeingLate() {
    assertEquals(PLACED, decide(-100, 5_000, true, false));
    assertEquals(DEADLINE_MISSED, decide(-100, 800, true, false));
  }

  private static LateRequestPolicy.Decision decide(
      long targetLeft, long timeLeft, boolean othersWait, boolean notRun) {
    return LateRequestPolicy.decide(
        new LateRequestPolicy.Outlook(
            FORECAST, SERVICE_MILLIS, targetLeft, timeLeft, othersWait, notRun));
  }
}
