package org.hornbeamusher.retry;

import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.Outcome;

/** Whether a failed attempt is retried. */
public sealed interface RetryDecision {

  /**
   * The request is retried.
   *
   * @param backoffMillis how long to wait first
   * @param excluded whether the failed endpoint is excluded
   */
  record Retry(long backoffMillis, boolean excluded) implements RetryDecision {}

  /**
   * The request fails at once.
   *
   * @param type the failure reported to the caller
   * @param outcome whether the request ran, as reported to the caller
   */
  record GiveUp(FailureType type, Outcome outcome) implements RetryDecision {}
}
