package org.hornbeamusher.admission;

import org.hornbeamusher.failure.FailureType;

/** The decision of an entry on a request before any work is spent on it. */
public sealed interface AdmissionDecision {

  /** The request is admitted; {@link AdmissionPolicy#finished} must be called exactly once. */
  record Admit() implements AdmissionDecision {}

  /**
   * The request is refused at once and is not run.
   *
   * @param type the reason
   * @param retryAfterMillis after how long the caller may retry
   */
  record Refuse(FailureType type, long retryAfterMillis) implements AdmissionDecision {}
}
