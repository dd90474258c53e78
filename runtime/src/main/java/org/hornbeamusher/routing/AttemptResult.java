package org.hornbeamusher.routing;

/** The result of an attempt, as far as routing uses it. */
public sealed interface AttemptResult {

  /**
   * The response was complete.
   *
   * @param firstTokenMillis time from dispatch to the first token
   * @param totalMillis time from dispatch to the end
   * @param loadStallMillis part of the total time spent waiting for an adapter load
   * @param tokens number of tokens in the response; 0 when the endpoint does not generate tokens
   */
  record Completed(long firstTokenMillis, long totalMillis, long loadStallMillis, int tokens)
      implements AttemptResult {

    /**
     * Creates the result of an endpoint that does not generate tokens.
     *
     * @param firstTokenMillis time from dispatch to the first byte
     * @param totalMillis time from dispatch to the end
     * @param loadStallMillis part of the total time spent waiting for an adapter load
     */
    public Completed(long firstTokenMillis, long totalMillis, long loadStallMillis) {
      this(firstTokenMillis, totalMillis, loadStallMillis, 0);
    }
  }

  /** The agent refused the attempt before it started. */
  record Refused() implements AttemptResult {}

  /** The endpoint or the connection to it failed. */
  record Failed() implements AttemptResult {}

  /**
   * The deadline passed before the response was complete.
   *
   * @param busyMillis time since the first token, or since dispatch when there was none
   * @param tokens number of tokens received by then
   */
  record Expired(long busyMillis, int tokens) implements AttemptResult {}

  /** The caller disconnected, which says nothing about the endpoint. */
  record Cancelled() implements AttemptResult {}
}
