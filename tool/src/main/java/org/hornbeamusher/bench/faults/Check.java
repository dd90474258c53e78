package org.hornbeamusher.bench.faults;

/** What must hold in every history. */
public enum Check {
  /** No idempotency key runs twice. */
  RUN_TWICE,
  /** A send that was told {@code not-run} never ran. */
  NOT_RUN_BUT_RAN,
  /** When every send of a key was told {@code not-run}, the next one runs. */
  RESEND_BARRED,
  /** No process goes back to an older version of a document. */
  DOCUMENT_REVERTED,
  /** Once quiet, every process holds what the table holds. */
  DOCUMENTS_DIFFER,
  /** An accepted change is in the audit trail, under its own version. */
  CHANGE_LOST,
  /** An endpoint that is leaving is given nothing new. */
  WORK_FOR_LEAVING,
  /** Every admitted request ends in exactly one answer. */
  ANSWERS_NOT_ONE,
  /** A caller gets the parts of its own answer, in order, and a whole one only if it is. */
  ANSWER_NOT_OWN,
  /** A request runs on the adapter and version that it names. */
  WRONG_ADAPTER,
  /** An adapter that serves a request is not evicted. */
  EVICTED_WHILE_PINNED
}
