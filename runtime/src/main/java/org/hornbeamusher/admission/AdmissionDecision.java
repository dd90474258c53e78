package org.hornbeamusher.admission;

import org.hornbeamusher.failure.FailureType;

/** What an entry does with a request before any work is spent on it. */
public sealed interface AdmissionDecision {

  /** The request is let in; {@link AdmissionPolicy#finished} must follow exactly once. */
  record Admit() implements AdmissionDecision {}

  /**
   * The request is refused at once; it was not run.
   *
   * @param type why
   * @param retryAfterMillis when it may be sent again, from now
   */
  record Refuse(FailureType type, long retryAfterMillis) implements AdmissionDecision {}
}
