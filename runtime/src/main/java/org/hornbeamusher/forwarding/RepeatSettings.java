package org.hornbeamusher.forwarding;

/**
 * How many sends beyond the first all entries together may make to one service.
 *
 * @param share of the requests for it
 * @param fixed a number on top
 * @param windowMillis in any time of this length
 */
public record RepeatSettings(double share, double fixed, long windowMillis) {}
