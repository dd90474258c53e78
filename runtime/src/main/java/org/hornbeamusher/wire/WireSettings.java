package org.hornbeamusher.wire;

/**
 * Intervals and bounds of connections.
 *
 * @param heartbeatMillis how often each end says that it lives
 * @param silenceMillis after how long without a word a connection is given up
 * @param connectMillis how long opening a connection may take at the most
 * @param outgoingMessages most messages that wait to be written
 */
public record WireSettings(
    long heartbeatMillis, long silenceMillis, int connectMillis, int outgoingMessages) {

  /**
   * Figures for today: five heartbeats a silence, so that one lost or late one gives nothing up,
   * and a dead connection is found within 2.5 s.
   */
  public static final WireSettings DEFAULT = new WireSettings(500, 2_500, 1_000, 16_384);
}
