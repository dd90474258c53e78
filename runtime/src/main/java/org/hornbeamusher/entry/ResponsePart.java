package org.hornbeamusher.entry;

/** A part of a response. */
sealed interface ResponsePart {

  /** One token's text. */
  record Token(String text) implements ResponsePart {}

  /** Bytes of a plain service's response. */
  record Bytes(byte[] bytes) implements ResponsePart {}
}
