package org.hornbeamusher.bench.faults;

/** Faults that are injected into a history. */
public enum Fault {
  /** The table is unavailable for a while. */
  TABLE_DOWN,
  /** One table call takes seconds. */
  TABLE_SLOW,
  /** A write takes effect, but its response is lost. */
  TABLE_ANSWER_LOST,
  /** A write takes effect after its caller has given up on it. */
  TABLE_WRITE_LATE,
  /** A process pauses beyond expiries and heartbeats, then continues. */
  PROCESS_PAUSED,
  /** A process crashes without notice. */
  PROCESS_DIED,
  /** A message arrives much later than those sent after it. */
  FRAME_DELAYED,
  /** A message arrives twice. */
  FRAME_DUPLICATED,
  /** A message never arrives. */
  FRAME_LOST,
  /** A connection is closed, possibly in the middle of a response. */
  CONNECTION_CUT,
  /** A connection stops delivering messages, and neither end is notified. */
  CONNECTION_SILENT,
  /** An engine restarts without resident adapters. */
  ENGINE_CRASHED,
  /** An adapter load fails. */
  LOAD_FAILED,
  /** A caller sends a request again without waiting for the response. */
  CALLER_RESENT,
  /** Two operators change a document concurrently from the same version. */
  OPERATORS_RACED,
  /** An agent is drained. */
  AGENT_DRAINED
}
