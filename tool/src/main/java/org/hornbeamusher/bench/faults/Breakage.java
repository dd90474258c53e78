package org.hornbeamusher.bench.faults;

/** A deliberate defect that shows that a {@link Check} can fail. */
public enum Breakage {
  /** Nothing is broken. */
  NONE,
  /** The table applies every transaction, whatever its conditions. */
  CONDITIONS_IGNORED,
  /** An entry that hears nothing concludes that nothing ran. */
  NOT_RUN_GUESSED,
  /** An entry never writes again what the table did not take. */
  ENDS_FORGOTTEN,
  /** A process takes the document that arrived last. */
  LAST_DOCUMENT_WINS,
  /** A process asks nobody for documents. */
  DOCUMENTS_NOT_PULLED,
  /** Nobody heeds that an agent is leaving. */
  LEAVING_IGNORED,
  /** An entry does not settle the attempts of a lost connection. */
  LOSS_NOT_SETTLED,
  /** An entry hands parts on as they arrive. */
  PARTS_UNORDERED,
  /** An engine runs a request on any adapter that it holds. */
  ADAPTER_IGNORED,
  /** An agent takes in the end of a load before the restart of the engine that it came after. */
  RESTART_NOTICED_LATE,
  /** An agent evicts an adapter that serves a request. */
  PIN_IGNORED
}
