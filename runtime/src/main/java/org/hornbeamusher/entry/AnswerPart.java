package org.hornbeamusher.entry;

/** A part of an answer. */
sealed interface AnswerPart {

  /** One token's text. */
  record Token(String text) implements AnswerPart {}

  /** Bytes of a plain service's answer. */
  record Bytes(byte[] bytes) implements AnswerPart {}
}
