package org.hornbeamusher.documents;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.hornbeamusher.documents.ServiceDocument.AdapterDeclaration;
import org.hornbeamusher.documents.ServiceDocument.CallPattern;
import org.hornbeamusher.documents.ServiceDocument.CostWeights;
import org.hornbeamusher.documents.ServiceDocument.ServiceKind;
import org.hornbeamusher.documents.ServiceDocument.ServiceLimits;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.ids.AdapterName;
import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.ids.TeamId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes the document updates and digests that peers exchange: MessagePack, deflated because
 * adapter names and locations are repetitive.
 */
public final class DocumentCodec {

  /** Maximum decoded length in bytes; a document of 900,000 characters is shorter. */
  private static final int MAXIMUM_INFLATED_LENGTH = 16 << 20;

  private static final int NO_UPDATE = 0;
  private static final int FULL_DOCUMENT = 1;
  private static final int DELTAS = 2;
  private static final int MODEL_KIND = 1;
  private static final int PLAIN_KIND = 2;

  private DocumentCodec() {}

  /**
   * Encodes an update.
   *
   * @param update an update that is sent to a peer
   * @return its bytes
   */
  public static byte[] encodeUpdate(DocumentUpdate update) {
    return encoded(
        packer -> {
          switch (update) {
            case DocumentUpdate.NoUpdate nothing -> packer.packInt(NO_UPDATE);
            case DocumentUpdate.FullDocument whole -> {
              packer.packInt(FULL_DOCUMENT);
              packDocument(packer, whole.document());
            }
            case DocumentUpdate.Deltas deltas -> {
              packer.packInt(DELTAS);
              packer.packArrayHeader(deltas.deltas().size());
              for (DocumentDelta delta : deltas.deltas()) {
                packDelta(packer, delta);
              }
            }
          }
        });
  }

  /**
   * Decodes an update.
   *
   * @param bytes the bytes that a peer sent
   * @return the update; throws {@code FRAME_MALFORMED} when the bytes are not an encoded update
   */
  public static DocumentUpdate decodeUpdate(byte[] bytes) {
    return decoded(
        bytes,
        unpacker -> {
          int kind = unpacker.unpackInt();
          return switch (kind) {
            case NO_UPDATE -> new DocumentUpdate.NoUpdate();
            case FULL_DOCUMENT -> new DocumentUpdate.FullDocument(unpackDocument(unpacker));
            case DELTAS -> new DocumentUpdate.Deltas(unpackDeltas(unpacker));
            default -> throw malformed("document update " + kind);
          };
        });
  }

  /**
   * Encodes a digest.
   *
   * @param digest versions by service
   * @return its bytes
   */
  public static byte[] encodeDigest(Map<ServiceName, Long> digest) {
    return encoded(
        packer -> {
          packer.packMapHeader(digest.size());
          for (Map.Entry<ServiceName, Long> entry : digest.entrySet()) {
            packer.packString(entry.getKey().value());
            packer.packLong(entry.getValue());
          }
        });
  }

  /**
   * Decodes a digest.
   *
   * @param bytes the bytes that a peer sent
   * @return versions by service; throws {@code FRAME_MALFORMED} when the bytes are not an encoded
   *     digest
   */
  public static Map<ServiceName, Long> decodeDigest(byte[] bytes) {
    return decoded(
        bytes,
        unpacker -> {
          int size = unpacker.unpackMapHeader();
          Map<ServiceName, Long> digest = new HashMap<>();
          for (int i = 0; i < size; i++) {
            digest.put(new ServiceName(unpacker.unpackString()), unpacker.unpackLong());
          }
          return digest;
        });
  }

  private static void packDelta(MessageBufferPacker packer, DocumentDelta delta)
      throws IOException {
    packer.packLong(delta.baseVersion());
    packDocument(packer, delta.head());
    packAdapters(packer, delta.changed());
    packer.packArrayHeader(delta.removed().size());
    for (AdapterName name : delta.removed()) {
      packer.packString(name.value());
    }
  }

  private static List<DocumentDelta> unpackDeltas(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackArrayHeader();
    List<DocumentDelta> deltas = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      deltas.add(
          new DocumentDelta(
              unpacker.unpackLong(),
              unpackDocument(unpacker),
              unpackAdapters(unpacker),
              unpackNames(unpacker)));
    }
    return deltas;
  }

  private static Set<AdapterName> unpackNames(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackArrayHeader();
    Set<AdapterName> names = new HashSet<>();
    for (int i = 0; i < size; i++) {
      names.add(new AdapterName(unpacker.unpackString()));
    }
    return names;
  }

  private static void packDocument(MessageBufferPacker packer, ServiceDocument document)
      throws IOException {
    packer.packString(document.service().value());
    packer.packString(document.partner().value());
    packer.packString(document.team().value());
    packer.packLong(document.version());
    packer.packBoolean(document.deleted());
    packer.packString(document.pool().value());
    packKind(packer, document.kind());
    packer.packDouble(document.weights().loadStall());
    packer.packDouble(document.weights().batchEfficiency());
    packLimits(packer, document.limits());
    packer.packMapHeader(document.callerWeights().size());
    for (Map.Entry<CallerId, Integer> weight : document.callerWeights().entrySet()) {
      packer.packString(weight.getKey().value());
      packer.packInt(weight.getValue());
    }
  }

  private static ServiceDocument unpackDocument(MessageUnpacker unpacker) throws IOException {
    return new ServiceDocument(
        new ServiceName(unpacker.unpackString()),
        new PartnerId(unpacker.unpackString()),
        new TeamId(unpacker.unpackString()),
        unpacker.unpackLong(),
        unpacker.unpackBoolean(),
        new PoolName(unpacker.unpackString()),
        unpackKind(unpacker),
        new CostWeights(unpacker.unpackDouble(), unpacker.unpackDouble()),
        unpackLimits(unpacker),
        unpackCallers(unpacker));
  }

  private static void packKind(MessageBufferPacker packer, ServiceKind kind) throws IOException {
    switch (kind) {
      case ServiceKind.Model model -> {
        packer.packInt(MODEL_KIND);
        packer.packString(model.baseModel());
        packAdapters(packer, model.adapters());
        packer.packBoolean(model.fencing());
        packer.packInt(model.adapterSlots());
        packer.packInt(model.batch());
      }
      case ServiceKind.Plain plain -> {
        packer.packInt(PLAIN_KIND);
        packer.packArrayHeader(plain.nonRepeatable().size());
        for (CallPattern pattern : plain.nonRepeatable()) {
          packer.packString(pattern.method());
          packer.packString(pattern.pathPrefix());
        }
        packer.packInt(plain.concurrency());
      }
    }
  }

  private static ServiceKind unpackKind(MessageUnpacker unpacker) throws IOException {
    int kind = unpacker.unpackInt();
    return switch (kind) {
      case MODEL_KIND ->
          new ServiceKind.Model(
              unpacker.unpackString(),
              unpackAdapters(unpacker),
              unpacker.unpackBoolean(),
              unpacker.unpackInt(),
              unpacker.unpackInt());
      case PLAIN_KIND -> new ServiceKind.Plain(unpackPatterns(unpacker), unpacker.unpackInt());
      default -> throw malformed("service kind " + kind);
    };
  }

  private static List<CallPattern> unpackPatterns(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackArrayHeader();
    List<CallPattern> patterns = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      patterns.add(new CallPattern(unpacker.unpackString(), unpacker.unpackString()));
    }
    return patterns;
  }

  private static void packAdapters(
      MessageBufferPacker packer, Map<AdapterName, AdapterDeclaration> adapters)
      throws IOException {
    packer.packMapHeader(adapters.size());
    for (Map.Entry<AdapterName, AdapterDeclaration> entry : adapters.entrySet()) {
      packer.packString(entry.getKey().value());
      packer.packInt(entry.getValue().current());
      packer.packArrayHeader(entry.getValue().versions().size());
      for (int version : entry.getValue().versions()) {
        packer.packInt(version);
      }
      packer.packString(entry.getValue().weightsLocation());
    }
  }

  private static Map<AdapterName, AdapterDeclaration> unpackAdapters(MessageUnpacker unpacker)
      throws IOException {
    int size = unpacker.unpackMapHeader();
    Map<AdapterName, AdapterDeclaration> adapters = new HashMap<>();
    for (int i = 0; i < size; i++) {
      AdapterName name = new AdapterName(unpacker.unpackString());
      adapters.put(
          name,
          new AdapterDeclaration(
              unpacker.unpackInt(), unpackVersions(unpacker), unpacker.unpackString()));
    }
    return adapters;
  }

  private static List<Integer> unpackVersions(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackArrayHeader();
    List<Integer> versions = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      versions.add(unpacker.unpackInt());
    }
    return versions;
  }

  private static void packLimits(MessageBufferPacker packer, ServiceLimits limits)
      throws IOException {
    packer.packInt(limits.share());
    packer.packInt(limits.maxQueueLength());
    packer.packLong(limits.defaultDeadlineMillis());
    packer.packLong(limits.maximumDeadlineMillis());
    packer.packInt(limits.maximumTokens());
  }

  private static ServiceLimits unpackLimits(MessageUnpacker unpacker) throws IOException {
    return new ServiceLimits(
        unpacker.unpackInt(),
        unpacker.unpackInt(),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackInt());
  }

  private static Map<CallerId, Integer> unpackCallers(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackMapHeader();
    Map<CallerId, Integer> weights = new HashMap<>();
    for (int i = 0; i < size; i++) {
      weights.put(new CallerId(unpacker.unpackString()), unpacker.unpackInt());
    }
    return weights;
  }

  private static byte[] encoded(Packing packing) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
        DeflaterOutputStream deflater = new DeflaterOutputStream(bytes)) {
      packing.pack(packer);
      deflater.write(packer.toByteArray());
      deflater.finish();
      return bytes.toByteArray();
    } catch (IOException e) {
      throw malformed(e.getMessage());
    }
  }

  private static <T> T decoded(byte[] bytes, Unpacking<T> unpacking) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(inflated(bytes))) {
      return unpacking.unpack(unpacker);
    } catch (IOException | RuntimeException e) {
      throw malformed(String.valueOf(e.getMessage()));
    }
  }

  private static byte[] inflated(byte[] bytes) throws IOException {
    try (InflaterInputStream inflater = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
      byte[] content = inflater.readNBytes(MAXIMUM_INFLATED_LENGTH + 1);
      if (content.length > MAXIMUM_INFLATED_LENGTH) {
        throw malformed("longer than " + MAXIMUM_INFLATED_LENGTH + " bytes");
      }
      return content;
    }
  }

  private static HornbeamusherException malformed(String detail) {
    return HornbeamusherException.of(FailureType.FRAME_MALFORMED, Outcome.UNKNOWN, detail);
  }

  private interface Packing {
    void pack(MessageBufferPacker packer) throws IOException;
  }

  private interface Unpacking<T> {
    T unpack(MessageUnpacker unpacker) throws IOException;
  }
}
