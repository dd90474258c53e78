package org.hornbeamusher.responses;

/** State of a response while its frames arrive. */
public sealed interface ResponseState {

  /**
   * Tells whether the state is final, so that later frames no longer change it.
   *
   * @return true for all but {@link Open}
   */
  default boolean ended() {
    return !(this instanceof Open);
  }

  /** More frames may arrive. */
  record Open() implements ResponseState {}

  /** Every part was delivered, and count and checksum match those that the sender stated. */
  record Complete() implements ResponseState {}

  /** The connection or the stream ended before the response was complete. */
  record Truncated() implements ResponseState {}

  /**
   * The parts contradict what the sender stated; the response must not be treated as complete.
   *
   * @param reason what differed
   */
  record Mismatch(MismatchReason reason) implements ResponseState {}

  /** Reason for a mismatch. */
  enum MismatchReason {
    /** A part or closing frame contradicts the number of parts. */
    COUNT,
    /** The parts' checksum differs. */
    CHECKSUM,
    /** A sequence number arrived twice with different bytes. */
    CONTENT,
    /** The parts that arrived out of order exceed the buffer limit. */
    OVERFLOW
  }
}
