package org.hornbeamusher.entry;

/**
 * Metadata that is known when a response is complete.
 *
 * @param finishReason the engine's reason, {@code stop} or {@code length}
 * @param promptTokens tokens in the prompt, as counted by the engine
 * @param completionTokens tokens in the response, as counted by the engine
 */
record ResponseEnd(String finishReason, int promptTokens, int completionTokens) {

  /** The end of a plain service's response, which has no finish reason and no token counts. */
  static final ResponseEnd PLAIN = new ResponseEnd("", 0, 0);
}
