package org.hornbeamusher.settings;

/**
 * Bounds on what callers may do to an entry.
 *
 * @param maxBodyBytes longest request body
 * @param maxHeaderBytes longest request header
 * @param requestTimeoutMillis how long a caller may take to send a request
 * @param stallTimeoutMillis how long a caller may leave an answer unread
 * @param maxInFlight most requests at once
 */
public record LimitSettings(
    int maxBodyBytes,
    int maxHeaderBytes,
    long requestTimeoutMillis,
    long stallTimeoutMillis,
    int maxInFlight) {

  /**
   * A prompt of 100,000 tokens fits into 1 MiB. At the size we expect, an entry sees 7 requests a
   * second; 2,048 at once are five minutes of them.
   */
  public static final LimitSettings DEFAULT =
      new LimitSettings(1_048_576, 16_384, 10_000, 30_000, 2_048);
}
