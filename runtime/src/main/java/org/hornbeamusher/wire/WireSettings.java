package org.hornbeamusher.wire;

/**
 * Intervals and limits of connections.
 *
 * @param heartbeatIntervalMillis the interval at which each peer sends heartbeats
 * @param heartbeatTimeoutMillis the time without any received byte after which a connection is
 *     closed
 * @param maxConnectTimeoutMillis the longest timeout of an attempt to connect
 * @param maxQueuedMessages the maximum number of messages that wait to be written
 */
public record WireSettings(
    long heartbeatIntervalMillis,
    long heartbeatTimeoutMillis,
    int maxConnectTimeoutMillis,
    int maxQueuedMessages) {

  /**
   * The timeout is five heartbeat intervals, so that a lost or late heartbeat closes no connection,
   * and a dead connection is detected within 2.5 s.
   */
  public static final WireSettings DEFAULT = new WireSettings(500, 2_500, 1_000, 16_384);
}
