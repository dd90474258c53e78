package org.hornbeamusher.quarantine;

import org.hornbeamusher.failure.FailureType;

/** Whether a request may run. */
public sealed interface QuarantineDecision {

  /** Nothing speaks against the request. */
  record Allow() implements QuarantineDecision {}

  /**
   * An endpoint crashed while it ran this request among others. It may run again, but only after
   * its row in the table has been claimed, and on no endpoint that runs another suspect.
   */
  record AllowIsolated() implements QuarantineDecision {}

  /**
   * The request must not run.
   *
   * @param type {@link FailureType#QUARANTINED}, or {@link FailureType#SUSPECT_RUNNING} when it may
   *     run once the same request that runs now has ended
   * @param retryAfterMillis when it may be sent again, from now
   */
  record Refuse(FailureType type, long retryAfterMillis) implements QuarantineDecision {}
}
