package org.hornbeamusher.bench.faults;

/** A deliberate defect with which a test proves that the check of an {@link Invariant} can fail. */
public enum InjectedDefect {
  /** No defect. */
  NONE,
  /** The table applies every transaction without checking its conditions. */
  CONDITIONS_IGNORED,
  /** An entry that receives no response reports that the request did not run. */
  NOT_RUN_GUESSED,
  /** An entry never retries a failed write of the end of a claim. */
  ENDS_FORGOTTEN,
  /** A process accepts the document that arrived last, even if it is an older version. */
  LAST_DOCUMENT_WINS,
  /** A process never polls or pulls documents. */
  DOCUMENTS_NOT_PULLED,
  /** Entries and agents ignore that an agent is leaving. */
  LEAVING_IGNORED,
  /** An entry neither retries nor ends the attempts on a lost connection. */
  LOSS_NOT_SETTLED,
  /** An entry delivers the parts of a response in the order of arrival. */
  PARTS_UNORDERED,
  /** An engine runs a request on any resident adapter. */
  ADAPTER_IGNORED,
  /** An agent processes the end of a load before the engine restart that preceded the load. */
  RESTART_NOTICED_LATE,
  /** An agent evicts an adapter that serves a request. */
  PIN_IGNORED
}
