package org.hornbeamusher.quarantine;

import org.hornbeamusher.failure.FailureType;

/** Whether, and under which conditions, a request may run. */
public sealed interface QuarantineDecision {

  /** The request may run; no crash of it is known. */
  record Allow() implements QuarantineDecision {}

  /**
   * An endpoint crashed while running this request, possibly among others. It may run again, but
   * only after its row in the table has been claimed, and not on an endpoint that runs another
   * suspect.
   */
  record AllowIsolated() implements QuarantineDecision {}

  /**
   * The request must not run.
   *
   * @param type {@link FailureType#QUARANTINED}, or {@link FailureType#SUSPECT_RUNNING} when the
   *     same request is running and this one may be retried after it has ended
   * @param retryAfterMillis milliseconds from now until the request may be retried
   */
  record Refuse(FailureType type, long retryAfterMillis) implements QuarantineDecision {}
}
