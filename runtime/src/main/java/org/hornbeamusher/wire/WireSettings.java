package org.hornbeamusher.wire;

/**
 * Intervals and bounds of connections.
 *
 * @param heartbeatIntervalMillis how often each end says that it lives
 * @param heartbeatTimeoutMillis after how long without a word a connection is given up
 * @param maxConnectTimeoutMillis how long opening a connection may take at the most
 * @param maxQueuedMessages most messages that wait to be written
 */
public record WireSettings(
    long heartbeatIntervalMillis,
    long heartbeatTimeoutMillis,
    int maxConnectTimeoutMillis,
    int maxQueuedMessages) {

  /**
   * Figures for today: five heartbeats a silence, so that one lost or late one gives nothing up,
   * and a dead connection is found within 2.5 s.
   */
  public static final WireSettings DEFAULT = new WireSettings(500, 2_500, 1_000, 16_384);
}
