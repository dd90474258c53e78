package org.hornbeamusher.retry;

import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.Outcome;

/** What follows a failed attempt. */
public sealed interface RetryDecision {

  /**
   * Another attempt is made.
   *
   * @param backoffMillis how long to wait first
   * @param excluded whether the endpoint that failed must not get it
   */
  record Retry(long backoffMillis, boolean excluded) implements RetryDecision {}

  /**
   * The caller gets its final answer, at once.
   *
   * @param type what it is told
   * @param outcome what it is promised
   */
  record GiveUp(FailureType type, Outcome outcome) implements RetryDecision {}
}
