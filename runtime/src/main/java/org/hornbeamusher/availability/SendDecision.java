package org.hornbeamusher.availability;

/** Whether a request may be sent to an endpoint. */
public sealed interface SendDecision {

  /** It may be sent now. */
  record Now() implements SendDecision {}

  /**
   * It may be sent after a wait.
   *
   * @param waitMillis length of the wait, at least 1
   */
  record Later(long waitMillis) implements SendDecision {}

  /** It may not be sent to this incarnation of the endpoint. */
  record Never() implements SendDecision {}
}
