package org.hornbeamusher.scheduling;

import org.hornbeamusher.failure.FailureType;

/** The decision on an arriving request. */
sealed interface QueueAdmissionDecision {

  /** The request is queued. */
  record Admit() implements QueueAdmissionDecision {}

  /**
   * The request is queued, and another queued request is refused to make room for it.
   *
   * @param victim the request that is refused
   */
  record Displace(ScheduledRequest victim) implements QueueAdmissionDecision {}

  /**
   * The request is refused.
   *
   * @param type the reason
   * @param retryAfterMillis after how long the caller may retry
   */
  record Refuse(FailureType type, long retryAfterMillis) implements QueueAdmissionDecision {}
}
