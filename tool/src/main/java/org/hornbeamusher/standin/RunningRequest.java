package org.hornbeamusher.standin;

import org.hornbeamusher.ids.AdapterRef;

/** A request in an engine's batch, or one whose connection was closed and that may be resumed. */
final class RunningRequest {

  private static final int CHARS_PER_TOKEN = 4;

  final String id;
  final AdapterRef adapter;
  final ExpectedResponse expected;
  final boolean crashesEngine;
  final int priority;
  final int promptTokens;

  /** Prompt tokens not yet processed; tokens are generated once it is 0. */
  int pendingPromptTokens;

  /** Number of tokens generated so far, and the index of the next one. */
  int generatedTokens;

  /** Number of generated tokens after which the connection is closed; -1 for never. */
  int abortAfterTokens = -1;

  ResponseSink sink;

  RunningRequest(
      String id,
      AdapterRef adapter,
      String prompt,
      int maxTokens,
      int priority,
      ResponseSink sink) {
    this.id = id;
    this.adapter = adapter;
    this.expected = new ExpectedResponse(adapter, prompt, maxTokens);
    this.crashesEngine = prompt.contains(ExpectedResponse.CRASH_MARK);
    this.priority = priority;
    this.promptTokens = Math.ceilDiv(prompt.length(), CHARS_PER_TOKEN);
    this.pendingPromptTokens = promptTokens;
    this.sink = sink;
  }

  boolean isComplete() {
    return generatedTokens >= expected.tokenCount();
  }

  /** Generates one token, and ends the response after the last one. */
  void step() {
    if (generatedTokens < expected.tokenCount()) {
      sink.token(generatedTokens, expected.token(generatedTokens));
      generatedTokens++;
    }
    if (isComplete()) {
      sink.finished(expected.finishReason(), promptTokens, generatedTokens);
    }
  }
}
