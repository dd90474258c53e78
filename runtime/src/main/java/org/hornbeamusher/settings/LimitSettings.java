package org.hornbeamusher.settings;

/**
 * Limits of an entry for its callers.
 *
 * @param maxBodyBytes maximum size of a request body
 * @param maxHeaderBytes maximum size of a request's headers
 * @param requestTimeoutMillis timeout for receiving a request
 * @param stallTimeoutMillis timeout for a response that the caller does not read
 * @param maxInFlight maximum number of requests in progress
 */
public record LimitSettings(
    int maxBodyBytes,
    int maxHeaderBytes,
    long requestTimeoutMillis,
    long stallTimeoutMillis,
    int maxInFlight) {

  /**
   * Defaults: a prompt of 100,000 tokens fits into 1 MiB. At the planned size an entry receives 7
   * requests a second, so 2,048 in progress are those of five minutes.
   */
  public static final LimitSettings DEFAULT =
      new LimitSettings(1_048_576, 16_384, 10_000, 30_000, 2_048);
}
