package org.hornbeamusher.scheduling;

import org.hornbeamusher.failure.FailureType;

/** What happens to a request that arrives. */
sealed interface AdmissionDecision {

  /** It waits. */
  record Admit() implements AdmissionDecision {}

  /**
   * It waits, and another that has not started is refused for it.
   *
   * @param victim which one
   */
  record Displace(Waiting victim) implements AdmissionDecision {}

  /**
   * It is refused.
   *
   * @param type why
   * @param retryAfterMillis when the caller may come back
   */
  record Refuse(FailureType type, long retryAfterMillis) implements AdmissionDecision {}
}
