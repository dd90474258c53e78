package org.hornbeamusher.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.quota.UsageAtStep;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

class MessageCodecTest {

  private static final List<Message> SAMPLES =
      List.of(
          new Message.Hello(1, 2, "entry", "e-1", 7, "marka", "", ""),
          new Message.Started(1, 2),
          new Message.Head(1, 200, "text/plain"),
          new Message.ResponseEnd(4, 5, 6),
          new Message.Failed(1, 201, "unknown", -1, "x", true),
          new Message.Cancel(9),
          new Message.Credit(9, 100),
          new Message.Heartbeat(3, 4),
          new Message.LoadReport(1, 2, 3, 4, 5, 6, List.of("a/b@1")),
          new Message.Leaving(),
          new Message.DocumentDigest(Map.of("lm-dispatch", 3L)),
          new Message.DocumentPull("lm-dispatch", 2),
          new Message.PermitRequest("s", "e", "p", 1.5),
          new Message.PermitGrant("s", 1, 2),
          new Message.PermitRelease("s", 1),
          new Message.CrashNotice(5, 1),
          new Message.Holdings("i-1", List.of("m/a@1"), List.of("m/b@2"), 3, true, 1_764_000L),
          new Message.PeerLoad(3, 9_200, -2, 1),
          new Message.EngineCosts(250, 30, 40, 84),
          new Message.UsageReport(
              8_000,
              7_050,
              List.of(new UsageAtStep("depot", 70, 9_200), new UsageAtStep("a", 2, 0)),
              List.of("e4")),
          new Message.UsageUpdate(
              90,
              List.of(new UsageAtStep("depot", 88, 18_400)),
              9_010,
              8_000,
              2_000,
              20,
              21,
              List.of("e4"),
              true),
          new Message.RatePermitRequest(5, "i-1", 1.7, 40, 600),
          new Message.RatePermitResponse(5, true, 120),
          new Message.RateLimitLifted("i-1", 80),
          new Message.LoadPermitRequest(2, 3, 4, 5, 290, 24),
          new Message.LoadPermitResponse(2, true, 6, 350, 25),
          new Message.ConnectionLoss("i-1", 1_764_000L, List.of("part-5c1e07a2")),
          new Message.ConnectionLoss("i-1", 1_764_000L, List.of("part-5c1e07a2"), 3, 4, 5));

  @Test
  void messagesRoundTrip() {
    for (Message sample : SAMPLES) {
      assertEquals(sample, MessageCodec.decode(MessageCodec.encode(sample)));
    }
  }

  @Test
  void bytesRoundTrip() {
    Message.Chunk chunk = new Message.Chunk(1, 2, new byte[] {3, 4});
    Message.Chunk back =
        assertInstanceOf(Message.Chunk.class, MessageCodec.decode(MessageCodec.encode(chunk)));
    assertArrayEquals(chunk.bytes(), back.bytes());
  }

  /**
   * Guards against connections that are closed during a rolling upgrade, because a newer process
   * sends a message type or a field that this one does not know; every upgrade would fail requests.
   */
  @Test
  void newerMessagesAndFieldsAreSkipped() throws IOException {
    MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
    packer.packArrayHeader(2).packInt(900).packString("later");
    assertEquals(new Message.Unknown(900), MessageCodec.decode(packer.toByteArray()));

    packer.clear();
    packer.packArrayHeader(3).packInt(8).packLong(4).packString("later");
    assertEquals(new Message.Cancel(4), MessageCodec.decode(packer.toByteArray()));
  }

  /** An older process omits a field that was added later; it is decoded as zero. */
  @Test
  void missingFieldsReadAsDefaults() throws IOException {
    MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
    packer.packArrayHeader(2).packInt(9).packLong(4);
    assertEquals(new Message.Credit(4, 0), MessageCodec.decode(packer.toByteArray()));
  }

  /**
   * A faulty or malicious peer sends random bytes. Decoding must return a message or fail with
   * {@code FRAME_MALFORMED}; any other exception would end a thread unnoticed.
   */
  @Property(seed = "4711", tries = 5_000)
  void randomBytesFailAsMalformed(@ForAll byte[] bytes) {
    decodeOrFailAsMalformed(bytes);
  }

  /** As above, with one changed byte in a valid message. */
  @Property(seed = "4712", tries = 5_000)
  void damagedMessagesFailAsMalformed(
      @ForAll int sample, @ForAll int position, @ForAll byte value) {
    byte[] bytes = MessageCodec.encode(SAMPLES.get(Math.floorMod(sample, SAMPLES.size())));
    bytes[Math.floorMod(position, bytes.length)] = value;
    decodeOrFailAsMalformed(bytes);
  }

  /** Guards against allocating memory for a frame whose length exceeds the maximum. */
  @Test
  void tooLongFrameIsRejected() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    new DataOutputStream(bytes).writeInt(Integer.MAX_VALUE);
    HornbeamusherException failure =
        assertThrows(
            HornbeamusherException.class, () -> FrameStream.read(input(bytes.toByteArray())));
    assertEquals(FailureType.FRAME_TOO_LONG, failure.type());
  }

  /** Guards against permits from a faulty agent that has used less than none. */
  @Test
  void negativeCountIsRejected() {
    for (Message faulty :
        List.of(
            new Message.LoadPermitRequest(1, -1, 0, 0, 0, 0),
            new Message.LoadPermitRequest(1, 0, 0, -1, 0, 0),
            new Message.LoadPermitResponse(1, true, -1, 0, 0))) {
      HornbeamusherException failure =
          assertThrows(
              HornbeamusherException.class, () -> MessageCodec.decode(MessageCodec.encode(faulty)));
      assertEquals(FailureType.FRAME_MALFORMED, failure.type());
    }
  }

  /** Guards against allocating memory for a string whose length exceeds the rest of its frame. */
  @Test
  void lengthBeyondFrameIsRejected() {
    byte[] frame = {(byte) 0x92, 14, (byte) 0xdb, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff};
    HornbeamusherException failure =
        assertThrows(HornbeamusherException.class, () -> MessageCodec.decode(frame));
    assertEquals(FailureType.FRAME_MALFORMED, failure.type());
  }

  /** The peer closes the connection in the middle of a frame. */
  @Test
  void truncatedFramesEndTheStream() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    FrameStream.write(new DataOutputStream(bytes), new byte[10]);
    byte[] cut = java.util.Arrays.copyOf(bytes.toByteArray(), 9);
    assertThrows(EOFException.class, () -> FrameStream.read(input(cut)));
  }

  private static DataInputStream input(byte[] bytes) {
    return new DataInputStream(new ByteArrayInputStream(bytes));
  }

  private static void decodeOrFailAsMalformed(byte[] bytes) {
    try {
      MessageCodec.decode(bytes);
    } catch (HornbeamusherException e) {
      assertEquals(FailureType.FRAME_MALFORMED, e.type());
    }
  }
}
