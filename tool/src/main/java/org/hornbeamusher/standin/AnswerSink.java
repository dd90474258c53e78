package org.hornbeamusher.standin;

/** Takes one answer of an engine as it is generated. */
interface AnswerSink {

  /** Takes the next token. */
  void token(int index, String text);

  /** Takes the end of a whole answer. */
  void finished(String reason, int promptTokens, int completionTokens);

  /** Takes the news that there will be no whole answer. */
  void failed(int status, String type);

  /** Closes the connection without a word. */
  void cut();
}
