package org.hornbeamusher.documents;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.ids.TeamId;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.RowKey;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Keys and encoding of the rows of table {@value #TABLE}: MessagePack with deflated texts. */
final class DocumentRows {

  static final String TABLE = "documents";
  static final String PARTNER_PREFIX = "partner/";

  private DocumentRows() {}

  static RowKey document(ServiceName service) {
    return new RowKey(TABLE, "service/" + service);
  }

  static RowKey partner(PartnerId partner) {
    return new RowKey(TABLE, PARTNER_PREFIX + partner);
  }

  static String auditPrefix(PartnerId owner, ServiceName service) {
    return "audit/" + owner + "/" + service + "/";
  }

  static RowKey audit(PartnerId owner, ServiceName service, long version) {
    return new RowKey(TABLE, auditPrefix(owner, service) + sortable(version));
  }

  static String attemptPrefix(PartnerId owner, ServiceName service) {
    return "attempt/" + owner + "/" + service + "/";
  }

  static RowKey attempt(PartnerId owner, RefusedAttempt attempt, String submission) {
    String time = sortable(attempt.attemptedMillis());
    return new RowKey(TABLE, attemptPrefix(owner, attempt.service()) + time + "-" + submission);
  }

  /** Pads a number with zeros so that keys sort in numeric order. */
  static String sortable(long number) {
    return String.format("%019d", number);
  }

  static byte[] encodeDocument(StoredDocument stored) {
    return packed(
        packer -> {
          packer.packString(stored.service().value());
          packer.packLong(stored.version());
          packer.packBoolean(stored.deleted());
          packPrincipal(packer, stored.author());
          packer.packLong(stored.acceptedMillis());
          packer.packString(stored.submission());
          byte[] text = deflated(stored.text());
          packer.packBinaryHeader(text.length);
          packer.writePayload(text);
        });
  }

  static StoredDocument decodeDocument(Row row) {
    return unpacked(
        row,
        unpacker ->
            new StoredDocument(
                new ServiceName(unpacker.unpackString()),
                unpacker.unpackLong(),
                unpacker.unpackBoolean(),
                unpackPrincipal(unpacker),
                unpacker.unpackLong(),
                unpacker.unpackString(),
                inflated(unpacker.readPayload(unpacker.unpackBinaryHeader()))));
  }

  static byte[] encodeChanges(PartnerChanges changes) {
    return packed(
        packer -> {
          packer.packLong(changes.changes());
          packer.packInt(changes.budget().tokens());
          packer.packLong(changes.budget().refilledMillis());
          packer.packMapHeader(changes.versions().size());
          for (Map.Entry<ServiceName, Long> version : changes.versions().entrySet()) {
            packer.packString(version.getKey().value());
            packer.packLong(version.getValue());
          }
        });
  }

  static PartnerChanges decodeChanges(Row row) {
    return unpacked(
        row,
        unpacker -> {
          long changes = unpacker.unpackLong();
          ChangeBudget budget = new ChangeBudget(unpacker.unpackInt(), unpacker.unpackLong());
          int size = unpacker.unpackMapHeader();
          Map<ServiceName, Long> versions = new HashMap<>();
          for (int i = 0; i < size; i++) {
            versions.put(new ServiceName(unpacker.unpackString()), unpacker.unpackLong());
          }
          return new PartnerChanges(changes, budget, versions);
        });
  }

  static byte[] encodeAttempt(RefusedAttempt attempt) {
    return packed(
        packer -> {
          packer.packString(attempt.service().value());
          packPrincipal(packer, attempt.author());
          packer.packLong(attempt.attemptedMillis());
        });
  }

  static RefusedAttempt decodeAttempt(Row row) {
    return unpacked(
        row,
        unpacker ->
            new RefusedAttempt(
                new ServiceName(unpacker.unpackString()),
                unpackPrincipal(unpacker),
                unpacker.unpackLong()));
  }

  static HornbeamusherException malformed(String detail) {
    return HornbeamusherException.of(
        FailureType.PLATFORM_MALFORMED, Outcome.UNKNOWN, "document row: " + detail);
  }

  private static void packPrincipal(MessageBufferPacker packer, Principal principal)
      throws IOException {
    packer.packString(principal.partner().value());
    packer.packString(principal.team().value());
  }

  private static Principal unpackPrincipal(MessageUnpacker unpacker) throws IOException {
    PartnerId partner = new PartnerId(unpacker.unpackString());
    return new Principal(partner, new TeamId(unpacker.unpackString()));
  }

  private static byte[] deflated(String text) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DeflaterOutputStream deflater = new DeflaterOutputStream(bytes)) {
      deflater.write(text.getBytes(StandardCharsets.UTF_8));
    }
    return bytes.toByteArray();
  }

  private static String inflated(byte[] bytes) throws IOException {
    try (InflaterInputStream inflater = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
      return new String(inflater.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static byte[] packed(Packing packing) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packing.pack(packer);
      return packer.toByteArray();
    } catch (IOException e) {
      throw malformed(e.getMessage());
    }
  }

  private static <T> T unpacked(Row row, Unpacking<T> unpacking) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(row.value())) {
      return unpacking.unpack(unpacker);
    } catch (IOException | RuntimeException e) {
      throw malformed(row.key().key() + ": " + e.getMessage());
    }
  }

  private interface Packing {
    void pack(MessageBufferPacker packer) throws IOException;
  }

  private interface Unpacking<T> {
    T unpack(MessageUnpacker unpacker) throws IOException;
  }
}
