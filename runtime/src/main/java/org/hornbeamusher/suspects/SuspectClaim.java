package org.hornbeamusher.suspects;

import org.hornbeamusher.failure.FailureType;

/** The result of claiming the row of a suspect: whether the suspect may run now. */
public sealed interface SuspectClaim {

  /** It may run; no other entry runs it until the run is reported as ended or its time is up. */
  record Granted() implements SuspectClaim {}

  /**
   * It must not run.
   *
   * @param type {@link FailureType#QUARANTINED}, or {@link FailureType#SUSPECT_RUNNING}, which is
   *     also used when the table does not respond
   * @param crashes number of crashes recorded in the table; 0 when it does not respond
   */
  record Refused(FailureType type, int crashes) implements SuspectClaim {}
}
