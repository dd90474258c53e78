package org.hornbeamusher.bench.capacity;

import java.util.List;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.MessageCodec;

/**
 * Bytes on the wire of each control message: the encoded frame, its length prefix and the TCP and
 * IP headers. Each message counts as one segment, which the next message in the other direction
 * acknowledges.
 *
 * @param heartbeat a heartbeat
 * @param report a load report with 8 resident adapters
 * @param difference a load report without resident adapters, as an incremental report would be
 * @param update an update with one changed adapter of a document
 */
record FrameSizes(int heartbeat, int report, int difference, int update) {

  private static final int LENGTH_PREFIX = 4;
  private static final int TCP_AND_IP = 52;

  /**
   * A heartbeat with the sequence number after one day (one heartbeat each 500 ms) and a typical
   * digest hash.
   */
  private static final Message HEARTBEAT = new Message.Heartbeat(172_800, 0x7F3A_55AA_1234_5678L);

  static FrameSizes measure() {
    return new FrameSizes(
        onWire(HEARTBEAT),
        onWire(Samples.report(0)),
        onWire(new Message.LoadReport(9, 3, 16, ExpectedScale.ADAPTER_SLOTS, 120, 700, List.of())),
        CpuSlopes.update().length + LENGTH_PREFIX + TCP_AND_IP);
  }

  private static int onWire(Message message) {
    return MessageCodec.encode(message).length + LENGTH_PREFIX + TCP_AND_IP;
  }
}
