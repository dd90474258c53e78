package org.hornbeamusher.bench.capacity;

import java.util.List;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.MessageCodec;

/**
 * Bytes on the wire of each control message: the encoded frame, its length prefix and the headers
 * of TCP and IP that carry it. Each message is counted as a segment of its own, acknowledged by the
 * next one the other way.
 *
 * @param heartbeat a heartbeat
 * @param report a load report with 8 resident adapters
 * @param difference a load report that names no resident adapter, as one with differences would
 * @param update one changed adapter of a document
 */
record FrameSizes(int heartbeat, int report, int difference, int update) {

  private static final int LENGTH_PREFIX = 4;
  private static final int TCP_AND_IP = 52;

  /** A sequence number after a day and a digest of ordinary length. */
  private static final Message HEARTBEAT = new Message.Heartbeat(172_800, 0x7F3A_55AA_1234_5678L);

  static FrameSizes measure() {
    return new FrameSizes(
        onWire(HEARTBEAT),
        onWire(Samples.report(0)),
        onWire(new Message.LoadReport(9, 3, 16, Letter.SLOTS, 120, 700, List.of())),
        CpuSlopes.update().length + LENGTH_PREFIX + TCP_AND_IP);
  }

  private static int onWire(Message message) {
    return MessageCodec.encode(message).length + LENGTH_PREFIX + TCP_AND_IP;
  }
}
