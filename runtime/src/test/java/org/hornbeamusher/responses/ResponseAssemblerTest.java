package org.hornbeamusher.responses;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.zip.CRC32C;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ResponseAssemblerTest {

  private static final long ATTEMPT = 7;
  private static final ResponseState OPEN = new ResponseState.Open();
  private static final ResponseState COMPLETE = new ResponseState.Complete();

  private final ResponseAssembler assembler = new ResponseAssembler(ATTEMPT, 8);
  private final StringBuilder delivered = new StringBuilder();

  @Test
  void partsOutOfOrderAreDeliveredInOrder() {
    part(1, "b");
    part(0, "a");
    part(1, "b");
    assertEquals(OPEN, closing(3, "abc"));
    part(2, "c");

    assertEquals("abc", delivered.toString());
    assertEquals(COMPLETE, assembler.state());
  }

  @Test
  void emptyResponseIsComplete() {
    assertEquals(COMPLETE, closing(0, ""));
  }

  /**
   * A request is retried after its connection was lost, and a frame of the first attempt arrives
   * late; it must not be mixed into the response of the retry.
   */
  @Test
  void framesOfAnotherAttemptAreIgnored() {
    part(0, "a");
    collect(assembler.partReceived(ATTEMPT - 1, 1, bytes("x")));
    assembler.closingReceived(ATTEMPT - 1, 1, 0);

    assertEquals(OPEN, assembler.state());
    assertEquals("a", delivered.toString());
  }

  /** The engine crashes mid-stream, after text that reads like a complete response. */
  @Test
  void interruptedStreamIsTruncated() {
    part(0, "a");

    assertEquals(new ResponseState.Truncated(), assembler.connectionEnded());
    assertEquals(new ResponseState.Truncated(), closing(1, "a"));
  }

  /**
   * A frame was corrupted or belongs to another response, which must not be treated as complete.
   */
  @Test
  void wrongChecksumIsMismatch() {
    part(0, "a");

    assertEquals(
        new ResponseState.Mismatch(ResponseState.MismatchReason.CHECKSUM), closing(1, "b"));
  }

  @Test
  void partBeyondTheStatedCountIsMismatch() {
    part(2, "c");

    assertEquals(new ResponseState.Mismatch(ResponseState.MismatchReason.COUNT), closing(2, "ab"));
  }

  @Test
  void sameNumberWithOtherBytesIsMismatch() {
    part(1, "b");
    part(1, "x");

    assertEquals(
        new ResponseState.Mismatch(ResponseState.MismatchReason.CONTENT), assembler.state());
  }

  /** A sender that ignores its flow-control credit must not exhaust the memory of this process. */
  @Test
  void bufferedPartsAreBounded() {
    part(1, "12345678");
    assertEquals(OPEN, assembler.state());
    part(2, "9");

    assertEquals(
        new ResponseState.Mismatch(ResponseState.MismatchReason.OVERFLOW), assembler.state());
  }

  @Property(seed = "41", tries = 500)
  void anyOrderWithDuplicatesYieldsTheCompleteResponseOnce(
      @ForAll @IntRange(max = 12) int count, @ForAll long seed) {
    Random random = new Random(seed);
    ResponseAssembler large = new ResponseAssembler(ATTEMPT, 1_000);
    List<Integer> frames = new ArrayList<>();
    for (int i = 0; i <= count; i++) {
      Collections.addAll(frames, i, i);
    }
    Collections.shuffle(frames, random);
    String complete = "abcdefghijkl".substring(0, count);
    for (int frame : frames) {
      collect(
          frame == count
              ? large.closingReceived(ATTEMPT, count, checksum(complete))
              : large.partReceived(ATTEMPT, frame, bytes(complete.substring(frame, frame + 1))));
    }

    assertEquals(complete, delivered.toString());
    assertEquals(COMPLETE, large.state());
    delivered.setLength(0);
  }

  @Property(seed = "42", tries = 500)
  void anyMissingFrameLeavesTheResponseIncomplete(
      @ForAll @IntRange(min = 1, max = 12) int count, @ForAll long seed) {
    Random random = new Random(seed);
    ResponseAssembler large = new ResponseAssembler(ATTEMPT, 1_000);
    int missing = random.nextInt(count + 1);
    String complete = "abcdefghijkl".substring(0, count);
    for (int frame = 0; frame <= count; frame++) {
      if (frame == missing) {
        continue;
      }
      if (frame == count) {
        large.closingReceived(ATTEMPT, count, checksum(complete));
      } else {
        large.partReceived(ATTEMPT, frame, bytes(complete.substring(frame, frame + 1)));
      }
    }

    assertTrue(!large.state().ended());
    assertInstanceOf(ResponseState.Truncated.class, large.connectionEnded());
  }

  private void part(long sequence, String text) {
    collect(assembler.partReceived(ATTEMPT, sequence, bytes(text)));
  }

  private ResponseState closing(long count, String complete) {
    return assembler.closingReceived(ATTEMPT, count, checksum(complete)).state();
  }

  private void collect(AssemblyResult delivery) {
    delivery.parts().forEach(part -> delivered.append(new String(part, StandardCharsets.UTF_8)));
  }

  private static long checksum(String complete) {
    CRC32C crc = new CRC32C();
    crc.update(bytes(complete));
    return crc.getValue();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
