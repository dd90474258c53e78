package org.hornbeamusher.entry;

/**
 * What is known when an answer is whole.
 *
 * @param finishReason the engine's reason, {@code stop} or {@code length}
 * @param promptTokens as the engine counted
 * @param completionTokens as the engine counted
 */
record AnswerEnd(String finishReason, int promptTokens, int completionTokens) {

  /** The end of a plain service's answer. */
  static final AnswerEnd PLAIN = new AnswerEnd("", 0, 0);
}
