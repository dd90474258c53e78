package org.hornbeamusher.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.quota.UsageAtStep;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the fields of one message in order; a field that the sender omitted has its default value.
 *
 * <p>Lengths inside a frame are untrusted input. No length may exceed the rest of the frame, or
 * else a short frame could make the receiver allocate without bound.
 */
final class FieldReader {

  private final MessageUnpacker unpacker;
  private final int frameBytes;
  private int remainingFields;

  FieldReader(MessageUnpacker unpacker, int fields, int frameBytes) {
    this.unpacker = unpacker;
    this.remainingFields = fields;
    this.frameBytes = frameBytes;
  }

  int readInt() throws IOException {
    return nextField() ? unpacker.unpackInt() : 0;
  }

  long readLong() throws IOException {
    return nextField() ? unpacker.unpackLong() : 0;
  }

  /** Reads a number that must not be negative. */
  int readCount() throws IOException {
    return (int) checkedCount(readInt());
  }

  /** Reads a number that must not be negative. */
  long readCountLong() throws IOException {
    return checkedCount(readLong());
  }

  private static long checkedCount(long count) {
    if (count < 0) {
      throw HornbeamusherException.notRun(
          FailureType.FRAME_MALFORMED, "a count of " + count + " is negative");
    }
    return count;
  }

  double readDouble() throws IOException {
    return nextField() ? unpacker.unpackDouble() : 0;
  }

  boolean readBoolean() throws IOException {
    return nextField() && unpacker.unpackBoolean();
  }

  String readString() throws IOException {
    return nextField() ? unpackString() : "";
  }

  byte[] readBytes() throws IOException {
    return nextField()
        ? unpacker.readPayload(checkedLength(unpacker.unpackBinaryHeader()))
        : new byte[0];
  }

  List<String> readStrings() throws IOException {
    if (!nextField()) {
      return List.of();
    }
    int count = checkedLength(unpacker.unpackArrayHeader());
    List<String> strings = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      strings.add(unpackString());
    }
    return List.copyOf(strings);
  }

  Map<String, Long> readLongsByString() throws IOException {
    if (!nextField()) {
      return Map.of();
    }
    int count = checkedLength(unpacker.unpackMapHeader());
    Map<String, Long> longs = new HashMap<>();
    for (int i = 0; i < count; i++) {
      longs.put(unpackString(), unpacker.unpackLong());
    }
    return Map.copyOf(longs);
  }

  List<UsageAtStep> readUsage(long currentStep, int fields) throws IOException {
    if (!nextField()) {
      return List.of();
    }
    int count = checkedLength(unpacker.unpackArrayHeader()) / fields;
    List<UsageAtStep> usage = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      String name = unpackString();
      usage.add(new UsageAtStep(name, currentStep - unpacker.unpackLong(), unpacker.unpackLong()));
    }
    return List.copyOf(usage);
  }

  void skipRest() throws IOException {
    unpacker.skipValue(remainingFields);
    remainingFields = 0;
  }

  private boolean nextField() {
    if (remainingFields == 0) {
      return false;
    }
    remainingFields--;
    return true;
  }

  private String unpackString() throws IOException {
    int length = checkedLength(unpacker.unpackRawStringHeader());
    return new String(unpacker.readPayload(length), java.nio.charset.StandardCharsets.UTF_8);
  }

  private int checkedLength(int length) {
    if (length < 0 || length > frameBytes - unpacker.getTotalReadBytes()) {
      throw HornbeamusherException.notRun(
          FailureType.FRAME_MALFORMED, "a length of " + length + " exceeds the frame");
    }
    return length;
  }
}
