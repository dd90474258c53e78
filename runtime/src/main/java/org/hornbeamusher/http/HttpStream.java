package org.hornbeamusher.http;

/** Controls an exchange in progress. Every method may be called from any thread. */
public interface HttpStream {

  /** Cancels the exchange by closing its connection; the listener is not called any more. */
  void cancel();

  /** Stops reading, so that TCP flow control stops the sender. */
  void pause();

  /** Resumes reading after {@link #pause}. */
  void resume();

  /**
   * Returns how many copies of responses to earlier requests of the connection were skipped.
   *
   * @return their number until now
   */
  int skippedResponses();
}
