package org.hornbeamusher.wire;

/**
 * Intervals and limits of connections.
 *
 * @param heartbeatMillis the interval at which each peer sends heartbeats
 * @param silenceMillis the time without any received byte after which a connection is closed
 * @param connectMillis the longest timeout of an attempt to connect
 * @param outgoingMessages the maximum number of messages that wait to be written
 */
public record WireSettings(
    long heartbeatMillis, long silenceMillis, int connectMillis, int outgoingMessages) {

  /**
   * The timeout is five heartbeat intervals, so that a lost or late heartbeat closes no connection,
   * and a dead connection is detected within 2.5 s.
   */
  public static final WireSettings DEFAULT = new WireSettings(500, 2_500, 1_000, 16_384);
}
