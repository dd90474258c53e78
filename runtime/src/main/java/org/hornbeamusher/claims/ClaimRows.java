package org.hornbeamusher.claims;

import java.io.IOException;
import java.util.Optional;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.ids.ClaimToken;
import org.hornbeamusher.table.Row;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Encodes claim rows in MessagePack. */
final class ClaimRows {

  private static final int CLAIMED = 1;
  private static final int NOT_RUN = 2;
  private static final int RAN = 3;
  private static final int UNKNOWN = 4;

  private ClaimRows() {}

  static byte[] encode(ClaimRow row) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packString(row.fingerprint());
      packer.packInt(row.attempt());
      packer.packString(row.token().value());
      packState(packer, row.state());
      return packer.toByteArray();
    } catch (IOException e) {
      throw malformed(e.getMessage());
    }
  }

  static ClaimRow decode(Row row) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(row.value())) {
      return new ClaimRow(
          unpacker.unpackString(),
          unpacker.unpackInt(),
          new ClaimToken(unpacker.unpackString()),
          unpackState(unpacker));
    } catch (IOException | RuntimeException e) {
      throw malformed(row.key().key() + ": " + e.getMessage());
    }
  }

  private static void packState(MessageBufferPacker packer, ClaimRow.State state)
      throws IOException {
    switch (state) {
      case ClaimRow.Claimed claimed -> {
        packer.packInt(CLAIMED);
        packer.packLong(claimed.expiryMillis());
      }
      case ClaimRow.NotRun notRun -> packer.packInt(NOT_RUN);
      case ClaimRow.Ran ran -> {
        packer.packInt(RAN);
        packResponse(packer, ran.response());
      }
      case ClaimRow.Unknown unknown -> packer.packInt(UNKNOWN);
    }
  }

  private static ClaimRow.State unpackState(MessageUnpacker unpacker) throws IOException {
    int state = unpacker.unpackInt();
    return switch (state) {
      case CLAIMED -> new ClaimRow.Claimed(unpacker.unpackLong());
      case NOT_RUN -> new ClaimRow.NotRun();
      case RAN -> new ClaimRow.Ran(unpackResponse(unpacker));
      case UNKNOWN -> new ClaimRow.Unknown();
      default -> throw malformed("state " + state);
    };
  }

  private static void packResponse(MessageBufferPacker packer, Optional<StoredResponse> response)
      throws IOException {
    packer.packBoolean(response.isPresent());
    if (response.isPresent()) {
      packer.packInt(response.get().status());
      packer.packString(response.get().contentType());
      packer.packBinaryHeader(response.get().body().length);
      packer.writePayload(response.get().body());
    }
  }

  private static Optional<StoredResponse> unpackResponse(MessageUnpacker unpacker)
      throws IOException {
    if (!unpacker.unpackBoolean()) {
      return Optional.empty();
    }
    return Optional.of(
        new StoredResponse(
            unpacker.unpackInt(),
            unpacker.unpackString(),
            unpacker.readPayload(unpacker.unpackBinaryHeader())));
  }

  private static HornbeamusherException malformed(String detail) {
    return HornbeamusherException.of(
        FailureType.PLATFORM_MALFORMED, Outcome.UNKNOWN, "claim row: " + detail);
  }
}
