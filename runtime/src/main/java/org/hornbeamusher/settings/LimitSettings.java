package org.hornbeamusher.settings;

/**
 * Limits of an entry for its callers.
 *
 * @param bodyBytes maximum size of a request body
 * @param headerBytes maximum size of a request's headers
 * @param requestMillis timeout for receiving a request
 * @param stalledMillis timeout for a response that the caller does not read
 * @param inFlight maximum number of requests in progress
 */
public record LimitSettings(
    int bodyBytes, int headerBytes, long requestMillis, long stalledMillis, int inFlight) {

  /**
   * Defaults: a prompt of 100,000 tokens fits into 1 MiB. At the planned size an entry receives 7
   * requests a second, so 2,048 in progress are those of five minutes.
   */
  public static final LimitSettings DEFAULT =
      new LimitSettings(1_048_576, 16_384, 10_000, 30_000, 2_048);
}
