package org.hornbeamusher.suspects;

import org.hornbeamusher.failure.FailureType;

/** Whether a suspect may run now, as the table says. */
public sealed interface SuspectClaim {

  /** Nobody else runs it, and nobody will until it is ended or its time is over. */
  record Granted() implements SuspectClaim {}

  /**
   * It must not run.
   *
   * @param type {@link FailureType#QUARANTINED}, or {@link FailureType#SUSPECT_RUNNING} also when
   *     the table does not answer
   * @param crashes crashes that the table knows of, 0 when it does not answer
   */
  record Refused(FailureType type, int crashes) implements SuspectClaim {}
}
