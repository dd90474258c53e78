package org.hornbeamusher.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.Outcome;
import org.junit.jupiter.api.Test;

class RetryPolicyTest {

  private static final RetrySettings SETTINGS = RetrySettings.DEFAULT;

  // Endpoints fail and succeed in any order. Guards against retries that multiply the load during
  // an
  // outage because they are not bounded by successes.
  @Property(seed = "1207", tries = 300)
  void retriesNeverExceedTheirBudget(
      @ForAll @Size(max = 400) List<@IntRange(max = 3_000) Integer> steps) {
    RetryPolicy policy = new RetryPolicy(SETTINGS);
    long now = 0;
    int retries = 0;
    int successes = 0;
    for (int step : steps) {
      now += step / 3;
      if (step % 3 == 0) {
        policy.succeeded(now);
        successes++;
      } else if (policy.decide(lost(1, 0), now) instanceof RetryDecision.Retry) {
        retries++;
      }
      double earned =
          SETTINGS.retriesPerSuccess() * successes + SETTINGS.minRetriesPerSecond() * now / 1_000;
      assertTrue(retries <= SETTINGS.maxSavedRetries() + earned + 1e-6);
    }
  }

  // All endpoints are down while 100 requests a second arrive. Guards against sending 300 a second
  // (three attempts each) to the first endpoint that recovers.
  @Test
  void totalOutageIsNotAmplified() {
    RetryPolicy policy = new RetryPolicy(SETTINGS);
    int retries = 0;
    for (int i = 0; i < 6_000; i++) {
      retries += policy.decide(lost(1, 0), i * 10L) instanceof RetryDecision.Retry ? 1 : 0;
    }
    assertEquals(10 + 5, retries, "saved retries, and one per ten seconds of a minute");
  }

  // Guards against running a non-repeatable request, such as a booking, twice after its connection
  // was lost.
  @Test
  void nonRepeatableRequestIsRetriedOnlyIfNotRun() {
    RetryPolicy policy = new RetryPolicy(SETTINGS);
    assertGivesUp(
        FailureType.ENDPOINT_LOST,
        policy.decide(
            failure(FailureType.ENDPOINT_LOST, Outcome.UNKNOWN, false, 1, 0, 9_000, false), 0));
    assertInstanceOf(
        RetryDecision.Retry.class,
        policy.decide(
            failure(FailureType.ENDPOINT_LEAVING, Outcome.NOT_RUN, false, 1, 0, 9_000, false), 0));
  }

  // Guards against giving up a request that another endpoint can serve.
  @Test
  void repeatableRequestIsRetriedAfterMalformedResponse() {
    RetryPolicy policy = new RetryPolicy(SETTINGS);
    assertInstanceOf(
        RetryDecision.Retry.class,
        policy.decide(
            failure(FailureType.RESPONSE_MALFORMED, Outcome.UNKNOWN, true, 1, 0, 9_000, false), 0));
    assertGivesUp(
        FailureType.RESPONSE_MALFORMED,
        policy.decide(
            failure(FailureType.RESPONSE_MALFORMED, Outcome.UNKNOWN, false, 1, 0, 9_000, false),
            0));
  }

  // Guards against appending a second response to one that has partly reached the caller.
  @Test
  void partlyDeliveredResponseIsNotRetried() {
    RetryPolicy policy = new RetryPolicy(SETTINGS);
    assertGivesUp(
        FailureType.ANSWER_CUT,
        policy.decide(
            failure(FailureType.ANSWER_CUT, Outcome.UNKNOWN, true, 1, 0, 9_000, true), 0));
  }

  // Guards against a request that crashes every endpoint that runs it. One crash may be a
  // coincidence; after the second the request is quarantined.
  @Test
  void secondCrashQuarantinesTheRequest() {
    RetryPolicy policy = new RetryPolicy(SETTINGS);
    assertInstanceOf(RetryDecision.Retry.class, policy.decide(lost(1, 1), 0));
    assertGivesUp(FailureType.QUARANTINED, policy.decide(lost(2, 2), 0));
  }

  @Test
  void attemptsAndTimeAreBounded() {
    RetryPolicy policy = new RetryPolicy(SETTINGS);
    assertGivesUp(FailureType.RETRIES_EXHAUSTED, policy.decide(lost(3, 0), 0));
    assertGivesUp(
        FailureType.DEADLINE_PASSED,
        policy.decide(
            failure(FailureType.ENDPOINT_LOST, Outcome.UNKNOWN, true, 1, 0, 10, false), 0));
  }

  // All agents refuse because of the deadline and the budget is exhausted. Guards against reporting
  // exhausted retries instead of the reason and the fact that the request was not run.
  @Test
  void refusalKeepsItsTypeWhenTheBudgetIsExhausted() {
    RetryPolicy policy = new RetryPolicy(SETTINGS);
    for (int i = 0; i < 20; i++) {
      policy.decide(lost(1, 0), 0);
    }
    assertGivesUp(
        FailureType.DEADLINE_TOO_NEAR,
        policy.decide(
            failure(FailureType.DEADLINE_TOO_NEAR, Outcome.NOT_RUN, true, 1, 0, 9_000, false), 0));
  }

  @Test
  void malformedRequestIsNotRetried() {
    assertGivesUp(
        FailureType.MALFORMED_REQUEST,
        new RetryPolicy(SETTINGS)
            .decide(
                failure(FailureType.MALFORMED_REQUEST, Outcome.NOT_RUN, true, 1, 0, 9_000, false),
                0));
  }

  private static AttemptFailure lost(int attempts, int crashes) {
    return failure(
        FailureType.ENDPOINT_LOST, Outcome.UNKNOWN, true, attempts, crashes, 60_000, false);
  }

  private static AttemptFailure failure(
      FailureType type,
      Outcome outcome,
      boolean repeatable,
      int attempts,
      int crashes,
      long remainingMillis,
      boolean delivered) {
    return new AttemptFailure(
        type, outcome, repeatable, attempts, crashes, remainingMillis, delivered);
  }

  private static void assertGivesUp(FailureType type, RetryDecision decision) {
    assertEquals(type, assertInstanceOf(RetryDecision.GiveUp.class, decision).type());
  }
}
