package org.hornbeamusher.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.junit.jupiter.api.Test;

class FrameBufferTest {

  /** The same frames are read whatever the size of the segments in which their bytes arrive. */
  @Property(seed = "3")
  void framesAreIndependentOfSegmentation(
      @ForAll @Size(max = 12) List<@IntRange(max = 900) Integer> lengths,
      @ForAll @Size(min = 1, max = 20) List<@IntRange(min = 1, max = 700) Integer> pieces) {
    List<byte[]> frames = new ArrayList<>();
    lengths.forEach(length -> frames.add(content(frames.size(), length)));
    FrameBuffer sent = new FrameBuffer();
    frames.forEach(sent::putFrame);
    FrameBuffer received = new FrameBuffer();
    List<byte[]> taken = new ArrayList<>();
    for (int i = 0; sent.length() > 0; i++) {
      int piece = Math.min(pieces.get(i % pieces.size()), sent.length());
      byte[] bytes = new byte[piece];
      sent.beginRead().get(bytes);
      sent.endRead();
      received.beginWrite(piece).put(bytes);
      received.endWrite();
      for (byte[] frame = received.takeFrame(); frame != null; frame = received.takeFrame()) {
        taken.add(frame);
      }
    }
    assertEquals(frames.size(), taken.size());
    for (int i = 0; i < frames.size(); i++) {
      assertArrayEquals(frames.get(i), taken.get(i));
    }
    assertNull(received.takeFrame());
  }

  private static byte[] content(int number, int length) {
    byte[] content = new byte[length];
    Arrays.fill(content, (byte) number);
    return content;
  }

  /** Guards against allocating memory for a malicious or corrupt length. */
  @Test
  void tooLongFrameIsRejectedBeforeItsContent() {
    FrameBuffer received = new FrameBuffer();
    received.beginWrite(4).put(ByteBuffer.allocate(4).putInt(Integer.MAX_VALUE).flip());
    received.endWrite();
    HornbeamusherException refused =
        assertThrows(HornbeamusherException.class, received::takeFrame);
    assertEquals(FailureType.FRAME_TOO_LONG, refused.type());
  }
}
