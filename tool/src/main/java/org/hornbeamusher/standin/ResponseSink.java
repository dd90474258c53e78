package org.hornbeamusher.standin;

/** Receives one response of an engine as it is generated. */
interface ResponseSink {

  /** Receives the next token. */
  void token(int index, String text);

  /** Called once after the last token of a complete response. */
  void finished(String reason, int promptTokens, int completionTokens);

  /** Called when the request failed and no further token follows. */
  void failed(int status, String type);

  /** Closes the connection without sending an error. */
  void abort();
}
