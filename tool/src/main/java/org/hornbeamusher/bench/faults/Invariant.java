package org.hornbeamusher.bench.faults;

/** Invariants that must hold in every history. */
public enum Invariant {
  /** No request with an idempotency key runs twice. */
  RUN_TWICE,
  /** A send whose reported outcome is {@code not-run} never ran. */
  NOT_RUN_BUT_RAN,
  /** If every send of a key was reported as {@code not-run}, the next send may run. */
  RESEND_BARRED,
  /** No process reverts to an older version of a document. */
  DOCUMENT_REVERTED,
  /** After the faults have stopped, every process holds the documents of the table. */
  DOCUMENTS_DIFFER,
  /** An accepted change is in the audit trail under its own version. */
  CHANGE_LOST,
  /** An endpoint that is leaving receives no new requests. */
  WORK_FOR_LEAVING,
  /** Every admitted request ends with exactly one response. */
  ANSWERS_NOT_ONE,
  /** A caller receives only parts of its own response, in order; one reported complete has all. */
  ANSWER_NOT_OWN,
  /** A request runs on the adapter and version that it names. */
  WRONG_ADAPTER,
  /** An adapter that is in use by a request is not evicted. */
  EVICTED_WHILE_PINNED
}
