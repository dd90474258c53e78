package org.hornbeamusher.http;

import java.util.Optional;

/** What makes a response malformed (RFC 9110, RFC 9112). */
public enum ResponseFault {
  /** It does not begin with a status line of HTTP/1. */
  STATUS_LINE("no status line"),
  /** Its status is not one of the classes that HTTP defines. */
  STATUS("a status outside 100 to 599"),
  /** It switches to another protocol. */
  UPGRADE("a switch of protocols that was not requested"),
  /** The reason phrase contains a control character. */
  REASON_PHRASE("a control character in the reason phrase"),
  /** A line has no colon, or what precedes the colon is not a token. */
  FIELD_NAME("a line whose name is not a token"),
  /** A line begins with a blank, as the continuation of another one does. */
  FOLDED_LINE("a line that begins with a blank"),
  /** The value of a header contains a control character. */
  FIELD_VALUE("a control character in the value of a header"),
  /** A carriage return does not end a line. */
  CARRIAGE_RETURN("a carriage return inside a line"),
  /** The length of the body is not a number of bytes. */
  CONTENT_LENGTH("a content length that is not a number"),
  /** The lengths of the body differ. */
  CONTENT_LENGTHS("content lengths that differ"),
  /** The body has a transfer coding that cannot be decoded. */
  TRANSFER_CODING("a transfer coding other than chunked"),
  /** The length of the body is stated in two ways. */
  LENGTH_AND_CODING("a content length beside a transfer coding"),
  /** The body of a response whose status allows none is stated to have bytes. */
  UNEXPECTED_BODY("a body that the status does not allow"),
  /** The size of a chunk is not a hexadecimal number. */
  CHUNK_SIZE("a size of a chunk that is not a number"),
  /** The extension of a chunk contains a control character. */
  CHUNK_EXTENSION("a control character in the extension of a chunk"),
  /** No line end follows the data of a chunk. */
  CHUNK_END("a chunk that does not end behind its data");

  private final String text;

  ResponseFault(String text) {
    this.text = text;
  }

  /**
   * Finds the fault that caused an exception.
   *
   * @param thrown any exception
   * @return empty if it was not caused by a malformed response
   */
  public static Optional<ResponseFault> of(Throwable thrown) {
    for (Throwable cause = thrown; cause != null; cause = cause.getCause()) {
      if (cause instanceof MalformedResponseException malformed) {
        return Optional.of(malformed.fault());
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the text for logs.
   *
   * @return a few words
   */
  public String text() {
    return text;
  }
}
