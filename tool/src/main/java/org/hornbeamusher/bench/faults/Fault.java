package org.hornbeamusher.bench.faults;

/** What may go wrong in a drawn history. */
public enum Fault {
  /** The table takes no calls for a while. */
  TABLE_DOWN,
  /** One call of the table takes seconds. */
  TABLE_SLOW,
  /** A write takes effect and its answer is lost. */
  TABLE_ANSWER_LOST,
  /** A write is given up by its caller and takes effect later. */
  TABLE_WRITE_LATE,
  /** A process stands still, past its expiries and heartbeats, and goes on. */
  PROCESS_PAUSED,
  /** A process ends without a word. */
  PROCESS_DIED,
  /** A message arrives much later than the next ones. */
  FRAME_DELAYED,
  /** A message arrives twice. */
  FRAME_DUPLICATED,
  /** A message never arrives. */
  FRAME_LOST,
  /** A connection is closed in the middle of an answer. */
  CONNECTION_CUT,
  /** Nothing arrives on a connection any more, and neither end is told. */
  CONNECTION_SILENT,
  /** An engine restarts, cold. */
  ENGINE_CRASHED,
  /** A load fails. */
  LOAD_FAILED,
  /** A caller sends again without waiting for the answer. */
  CALLER_RESENT,
  /** Two operators change one document from the same version. */
  OPERATORS_RACED,
  /** An agent is told to leave. */
  AGENT_DRAINED
}
