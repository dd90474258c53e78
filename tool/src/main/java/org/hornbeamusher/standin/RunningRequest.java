package org.hornbeamusher.standin;

import org.hornbeamusher.ids.AdapterRef;

/** One request in an engine's batch, or one that was cut and may be resumed. */
final class RunningRequest {

  private static final int CHARS_PER_TOKEN = 4;

  final String id;
  final AdapterRef adapter;
  final ExpectedAnswer answer;
  final boolean crashes;
  final int priority;
  final int promptTokens;

  /** Prompt tokens still to be read; tokens are generated once it is 0. */
  int prefillLeft;

  /** Tokens generated so far; the next one has this index. */
  int generated;

  /** Generated tokens after which the connection is cut; -1 for never. */
  int cutAfter = -1;

  AnswerSink sink;

  RunningRequest(
      String id, AdapterRef adapter, String prompt, int maxTokens, int priority, AnswerSink sink) {
    this.id = id;
    this.adapter = adapter;
    this.answer = new ExpectedAnswer(adapter, prompt, maxTokens);
    this.crashes = prompt.contains(ExpectedAnswer.CRASH_MARK);
    this.priority = priority;
    this.promptTokens = Math.ceilDiv(prompt.length(), CHARS_PER_TOKEN);
    this.prefillLeft = promptTokens;
    this.sink = sink;
  }

  boolean complete() {
    return generated >= answer.tokens();
  }

  /** Generates one token, and the end after the last. */
  void step() {
    if (generated < answer.tokens()) {
      sink.token(generated, answer.token(generated));
      generated++;
    }
    if (complete()) {
      sink.finished(answer.finishReason(), promptTokens, generated);
    }
  }
}
