package org.hornbeamusher.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the fields of one message in order; a field that the sender left out reads as its default.
 *
 * <p>Lengths inside a frame are claims of the sender. No length may exceed what the frame still
 * holds, else a short frame could make the receiver allocate without bound.
 */
final class FieldReader {

  private final MessageUnpacker unpacker;
  private final int frameBytes;
  private int remaining;

  FieldReader(MessageUnpacker unpacker, int fields, int frameBytes) {
    this.unpacker = unpacker;
    this.remaining = fields;
    this.frameBytes = frameBytes;
  }

  int integer() throws IOException {
    return next() ? unpacker.unpackInt() : 0;
  }

  long number() throws IOException {
    return next() ? unpacker.unpackLong() : 0;
  }

  double real() throws IOException {
    return next() ? unpacker.unpackDouble() : 0;
  }

  boolean flag() throws IOException {
    return next() && unpacker.unpackBoolean();
  }

  String text() throws IOException {
    return next() ? unpackText() : "";
  }

  byte[] bytes() throws IOException {
    return next() ? unpacker.readPayload(bounded(unpacker.unpackBinaryHeader())) : new byte[0];
  }

  List<String> texts() throws IOException {
    if (!next()) {
      return List.of();
    }
    int count = bounded(unpacker.unpackArrayHeader());
    List<String> texts = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      texts.add(unpackText());
    }
    return List.copyOf(texts);
  }

  Map<String, Long> numbersByText() throws IOException {
    if (!next()) {
      return Map.of();
    }
    int count = bounded(unpacker.unpackMapHeader());
    Map<String, Long> numbers = new HashMap<>();
    for (int i = 0; i < count; i++) {
      numbers.put(unpackText(), unpacker.unpackLong());
    }
    return Map.copyOf(numbers);
  }

  void skipRest() throws IOException {
    unpacker.skipValue(remaining);
    remaining = 0;
  }

  private boolean next() {
    if (remaining == 0) {
      return false;
    }
    remaining--;
    return true;
  }

  private String unpackText() throws IOException {
    int length = bounded(unpacker.unpackRawStringHeader());
    return new String(unpacker.readPayload(length), java.nio.charset.StandardCharsets.UTF_8);
  }

  private int bounded(int length) {
    if (length < 0 || length > frameBytes - unpacker.getTotalReadBytes()) {
      throw HornbeamusherException.notRun(
          FailureType.FRAME_MALFORMED, "a length of " + length + " exceeds the frame");
    }
    return length;
  }
}
