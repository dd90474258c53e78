package org.hornbeamusher.forwarding;

/**
 * The maximum number of retries that all entries together may send to one service.
 *
 * @param share retries per request
 * @param fixed additional number of retries
 * @param windowMillis length of the sliding window for which both apply
 */
public record RepeatSettings(double share, double fixed, long windowMillis) {}
