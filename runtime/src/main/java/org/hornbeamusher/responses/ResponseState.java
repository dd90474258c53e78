package org.hornbeamusher.responses;

/** What is known of an answer. */
public sealed interface ResponseState {

  /**
   * Tells whether later frames can change anything.
   *
   * @return true for all but {@link Open}
   */
  default boolean ended() {
    return !(this instanceof Open);
  }

  /** More frames may come. */
  record Open() implements ResponseState {}

  /** Every part was delivered, and their count and checksum are those the sender stated. */
  record Complete() implements ResponseState {}

  /** The connection or the stream ended before the answer was whole. */
  record Truncated() implements ResponseState {}

  /**
   * The parts are not what the sender stated; the answer must not be passed off as whole.
   *
   * @param reason what did not fit
   */
  record Mismatch(MismatchReason reason) implements ResponseState {}

  /** What did not fit. */
  enum MismatchReason {
    /** A part or closing frame contradicts the number of parts. */
    COUNT,
    /** The parts' checksum differs. */
    CHECKSUM,
    /** A sequence number arrived twice with different bytes. */
    CONTENT,
    /** More parts are out of order than may be kept. */
    OVERFLOW
  }
}
