package org.hornbeamusher.forwarding;

/**
 * The maximum number of retries that all entries together may send to one service.
 *
 * @param retryRatio retries per request
 * @param fixedRetries additional number of retries
 * @param windowMillis length of the sliding window for which both apply
 */
public record ServiceRetrySettings(double retryRatio, double fixedRetries, long windowMillis) {}
