package org.hornbeamusher.wire;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.quota.UsageAtStep;
import org.hornbeamusher.quota.UsageSteps;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes messages as the contents of frames and decodes them. Type numbers are never reused. */
public final class MessageCodec {

  private static final int HELLO = 1;
  private static final int DISPATCH = 2;
  private static final int STARTED = 3;
  private static final int HEAD = 4;
  private static final int CHUNK = 5;
  private static final int RESPONSE_END = 6;
  private static final int FAILED = 7;
  private static final int CANCEL = 8;
  private static final int CREDIT = 9;
  private static final int HEARTBEAT = 10;
  private static final int LOAD_REPORT = 11;
  private static final int LEAVING = 12;
  private static final int DOCUMENT_DIGEST = 13;
  private static final int DOCUMENT_PULL = 14;
  private static final int DOCUMENT_PUSH = 15;
  private static final int PERMIT_REQUEST = 16;
  private static final int PERMIT_GRANT = 17;
  private static final int PERMIT_RELEASE = 18;
  private static final int CRASH_NOTICE = 19;
  private static final int RESERVE = 20;
  private static final int RESERVATION_GRANTED = 21;
  private static final int PROMPT_PROCESSED = 22;
  private static final int RESERVATION_RELEASE = 23;
  private static final int HOLDINGS = 24;
  private static final int PEER_LOAD = 25;
  private static final int ENGINE_COSTS = 26;
  // 27 and 28 were differences of sums.
  private static final int USAGE_REPORT = 39;
  private static final int USAGE_UPDATE = 40;
  private static final int RATE_PERMIT_REQUEST = 29;
  private static final int RATE_PERMIT_RESPONSE = 30;
  private static final int RATE_LIMIT_LIFTED = 31;
  private static final int CRASH_REPORT = 32;
  private static final int CONNECTION_LOSS = 36;
  private static final int LOAD_PERMIT_REQUEST = 37;
  private static final int LOAD_PERMIT_RESPONSE = 38;
  private static final int STREAM_BEGUN = 33;
  private static final int STREAM_ORIGIN_REQUEST = 34;
  private static final int STREAM_ORIGIN_RESPONSE = 35;

  /** Fields of one {@link UsageAtStep} in a list of them. */
  private static final int USAGE_FIELDS = 3;

  /**
   * Most messages carry at most one token. The default buffer of 8 KiB for each message was a fifth
   * of all allocations of the process; a longer message uses several buffers of this size.
   */
  private static final MessagePack.PackerConfig PACKER_CONFIG =
      new MessagePack.PackerConfig().withBufferSize(512);

  private MessageCodec() {}

  /**
   * Encodes a message.
   *
   * @param message the message
   * @return the frame's content
   */
  public static byte[] encode(Message message) {
    try (MessageBufferPacker packer = PACKER_CONFIG.newBufferPacker()) {
      pack(packer, message);
      return packer.toByteArray();
    } catch (IOException e) {
      throw malformed(e);
    }
  }

  /**
   * Decodes a message.
   *
   * @param frame the frame's content
   * @return the message, {@link Message.Unknown} for an unknown type number
   * @throws HornbeamusherException of type {@code FRAME_MALFORMED} when the content is not a valid
   *     message
   */
  public static Message decode(byte[] frame) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
      int fields = unpacker.unpackArrayHeader();
      if (fields < 1) {
        throw HornbeamusherException.notRun(FailureType.FRAME_MALFORMED, "it has no type");
      }
      int type = unpacker.unpackInt();
      FieldReader reader = new FieldReader(unpacker, fields - 1, frame.length);
      Message message = read(type, reader);
      reader.skipRest();
      return message;
    } catch (IOException | MessagePackException e) {
      throw malformed(e);
    }
  }

  private static HornbeamusherException malformed(Exception e) {
    return HornbeamusherException.notRun(FailureType.FRAME_MALFORMED, e.getMessage()).causedBy(e);
  }

  private static void pack(MessagePacker p, Message message) throws IOException {
    switch (message) {
      case Message.Hello m ->
          packHeader(p, HELLO, 8)
              .packInt(m.lowestProtocol())
              .packInt(m.highestProtocol())
              .packString(m.role())
              .packString(m.instance())
              .packLong(m.incarnation())
              .packString(m.zone())
              .packString(m.endpoint())
              .packString(m.pool());
      case Message.Dispatch m -> packDispatch(p, m);
      case Message.Started m ->
          packHeader(p, STARTED, 2).packLong(m.attempt()).packLong(m.loadStallMillis());
      case Message.Head m ->
          packHeader(p, HEAD, 3)
              .packLong(m.attempt())
              .packInt(m.status())
              .packString(m.contentType());
      case Message.Chunk m ->
          packBytes(
              packHeader(p, CHUNK, 3).packLong(m.attempt()).packLong(m.sequence()), m.bytes());
      case Message.ResponseEnd m ->
          packHeader(p, RESPONSE_END, 3)
              .packLong(m.attempt())
              .packLong(m.chunks())
              .packLong(m.checksum());
      case Message.Failed m ->
          packHeader(p, FAILED, 6)
              .packLong(m.attempt())
              .packInt(m.failureNumber())
              .packString(m.outcome())
              .packLong(m.retryAfterMillis())
              .packString(m.detail())
              .packBoolean(m.crashed());
      case Message.Cancel m -> packHeader(p, CANCEL, 1).packLong(m.attempt());
      case Message.Credit m -> packHeader(p, CREDIT, 2).packLong(m.attempt()).packLong(m.bytes());
      case Message.Heartbeat m ->
          packHeader(p, HEARTBEAT, 2).packLong(m.sequence()).packLong(m.documentDigest());
      case Message.LoadReport m -> packLoadReport(p, m);
      case Message.Leaving m -> packHeader(p, LEAVING, 0);
      case Message.DocumentDigest m -> packLongs(packHeader(p, DOCUMENT_DIGEST, 1), m.versions());
      case Message.DocumentPull m ->
          packHeader(p, DOCUMENT_PULL, 2).packString(m.service()).packLong(m.haveVersion());
      case Message.DocumentPush m ->
          packBytes(packHeader(p, DOCUMENT_PUSH, 2).packString(m.service()), m.content());
      case Message.PermitRequest m ->
          packHeader(p, PERMIT_REQUEST, 4)
              .packString(m.store())
              .packString(m.endpoint())
              .packString(m.partner())
              .packDouble(m.demand());
      case Message.PermitGrant m ->
          packHeader(p, PERMIT_GRANT, 3)
              .packString(m.store())
              .packLong(m.grantId())
              .packLong(m.expiresMillis());
      case Message.PermitRelease m ->
          packHeader(p, PERMIT_RELEASE, 2).packString(m.store()).packLong(m.grantId());
      case Message.CrashNotice m ->
          packHeader(p, CRASH_NOTICE, 2).packLong(m.fingerprint()).packInt(m.crashes());
      case Message.Reserve m ->
          packHeader(p, RESERVE, 8)
              .packLong(m.reservation())
              .packString(m.requestId())
              .packString(m.adapter())
              .packLong(m.version())
              .packInt(m.rank())
              .packLong(m.pendingPromptTokens())
              .packLong(m.maxWaitMillis())
              .packLong(m.firstEventTargetMillis());
      case Message.ReservationGranted m ->
          packHeader(p, RESERVATION_GRANTED, 1).packLong(m.reservation());
      case Message.PromptProcessed m ->
          packHeader(p, PROMPT_PROCESSED, 1).packLong(m.reservation());
      case Message.ReservationRelease m ->
          packHeader(p, RESERVATION_RELEASE, 1).packLong(m.reservation());
      case Message.Holdings m -> packHoldings(p, m);
      case Message.PeerLoad m ->
          packHeader(p, PEER_LOAD, 4)
              .packInt(m.requests())
              .packLong(m.pendingPromptTokens())
              .packInt(m.spareSlots())
              .packInt(m.waitingAdapters());
      case Message.EngineCosts m ->
          packHeader(p, ENGINE_COSTS, 4)
              .packLong(m.storeLoadMillis())
              .packLong(m.cachedLoadMillis())
              .packLong(m.slotWaitMillis())
              .packInt(m.cachedAdapters());
      case Message.UsageReport m -> {
        packHeader(p, USAGE_REPORT, 4).packLong(m.windowMillis()).packLong(m.sentMillis());
        packUsage(p, UsageSteps.stepOf(m.sentMillis()), m.usage());
        packStrings(p, m.unknownEntries());
      }
      case Message.UsageUpdate m -> {
        packUsage(packHeader(p, USAGE_UPDATE, 9).packLong(m.step()), m.step(), m.usage());
        p.packLong(m.answeredMillis())
            .packLong(m.knownMillis())
            .packLong(m.settledMillis())
            .packInt(m.reachableEntryCount())
            .packInt(m.entryCount());
        packStrings(p, m.silentEntries());
        p.packBoolean(m.hidden());
      }
      case Message.RatePermitRequest m ->
          packHeader(p, RATE_PERMIT_REQUEST, 5)
              .packLong(m.requestNumber())
              .packString(m.endpoint())
              .packDouble(m.perSecond())
              .packLong(m.advertisedAgoMillis())
              .packLong(m.maxWaitMillis());
      case Message.RatePermitResponse m ->
          packHeader(p, RATE_PERMIT_RESPONSE, 3)
              .packLong(m.requestNumber())
              .packBoolean(m.granted())
              .packLong(m.waitMillis());
      case Message.RateLimitLifted m ->
          packHeader(p, RATE_LIMIT_LIFTED, 2).packString(m.endpoint()).packLong(m.sentAgoMillis());
      case Message.StreamBegun m ->
          packHeader(p, STREAM_BEGUN, 5)
              .packString(m.requestId())
              .packString(m.endpoint())
              .packString(m.software())
              .packBoolean(m.softwareKnown())
              .packLong(m.startMillis());
      case Message.StreamOriginRequest m ->
          packHeader(p, STREAM_ORIGIN_REQUEST, 2)
              .packLong(m.requestNumber())
              .packString(m.requestId());
      case Message.StreamOriginResponse m ->
          packHeader(p, STREAM_ORIGIN_RESPONSE, 5)
              .packLong(m.requestNumber())
              .packString(m.endpoint())
              .packString(m.software())
              .packBoolean(m.softwareKnown())
              .packLong(m.startMillis());
      case Message.CrashReport m -> packBytes(packHeader(p, CRASH_REPORT, 1), m.record());
      case Message.ConnectionLoss m -> {
        packHeader(p, CONNECTION_LOSS, 6).packString(m.endpoint()).packLong(m.startMillis());
        packStrings(p, m.suspects());
        p.packLong(m.sentMillis()).packLong(m.runningMillis()).packLong(m.lostMillis());
      }
      case Message.LoadPermitRequest m ->
          packHeader(p, LOAD_PERMIT_REQUEST, 6)
              .packLong(m.epoch())
              .packInt(m.adapters())
              .packInt(m.onTimeRequests())
              .packLong(m.usedPermits())
              .packLong(m.loadMillis())
              .packInt(m.concurrencyLimit());
      case Message.LoadPermitResponse m ->
          packHeader(p, LOAD_PERMIT_RESPONSE, 5)
              .packLong(m.epoch())
              .packBoolean(m.paced())
              .packLong(m.grantedPermits())
              .packLong(m.waitMillis())
              .packInt(m.concurrencyLimit());
      case Message.Unknown m -> packHeader(p, m.type(), 0);
    }
  }

  private static void packDispatch(MessagePacker p, Message.Dispatch m) throws IOException {
    packHeader(p, DISPATCH, 20)
        .packLong(m.attempt())
        .packString(m.requestId())
        .packString(m.method())
        .packString(m.path())
        .packString(m.contentType());
    packBytes(p, m.body());
    p.packString(m.adapter())
        .packString(m.partner())
        .packString(m.service())
        .packString(m.caller())
        .packInt(m.costTokens())
        .packLong(m.deadlineMillis())
        .packLong(m.expiresMillis())
        .packDouble(m.loadStallWeight())
        .packDouble(m.batchWeight())
        .packInt(m.serviceShare())
        .packInt(m.callerWeight())
        .packInt(m.queueLimit())
        .packString(m.idempotencyKey())
        .packLong(m.creditBytes());
  }

  private static void packLoadReport(MessagePacker p, Message.LoadReport m) throws IOException {
    packHeader(p, LOAD_REPORT, 7)
        .packInt(m.running())
        .packInt(m.queued())
        .packInt(m.batchCapacity())
        .packInt(m.adapterCapacity())
        .packLong(m.queueWaitMillis())
        .packLong(m.loadWaitMillis())
        .packArrayHeader(m.resident().size());
    for (String adapter : m.resident()) {
      p.packString(adapter);
    }
  }

  private static void packLongs(MessagePacker p, Map<String, Long> longs) throws IOException {
    p.packMapHeader(longs.size());
    for (Map.Entry<String, Long> entry : longs.entrySet()) {
      p.packString(entry.getKey()).packLong(entry.getValue());
    }
  }

  /** Packs the age of each step, which is shorter than the step. */
  private static void packUsage(MessagePacker p, long currentStep, List<UsageAtStep> usage)
      throws IOException {
    p.packArrayHeader(usage.size() * USAGE_FIELDS);
    for (UsageAtStep one : usage) {
      p.packString(one.name()).packLong(currentStep - one.step()).packLong(one.units());
    }
  }

  private static Message readUsageReport(FieldReader r) throws IOException {
    long windowMillis = r.readLong();
    long sentMillis = r.readLong();
    return new Message.UsageReport(
        windowMillis,
        sentMillis,
        r.readUsage(UsageSteps.stepOf(sentMillis), USAGE_FIELDS),
        r.readStrings());
  }

  private static Message readUsageUpdate(FieldReader r) throws IOException {
    long step = r.readLong();
    return new Message.UsageUpdate(
        step,
        r.readUsage(step, USAGE_FIELDS),
        r.readLong(),
        r.readLong(),
        r.readLong(),
        r.readInt(),
        r.readInt(),
        r.readStrings(),
        r.readBoolean());
  }

  private static void packHoldings(MessagePacker p, Message.Holdings m) throws IOException {
    packHeader(p, HOLDINGS, 6).packString(m.endpoint());
    packStrings(p, m.resident());
    packStrings(p, m.loading());
    p.packInt(m.entryCount()).packBoolean(m.leaving()).packLong(m.startMillis());
  }

  private static void packStrings(MessagePacker p, List<String> strings) throws IOException {
    p.packArrayHeader(strings.size());
    for (String string : strings) {
      p.packString(string);
    }
  }

  private static MessagePacker packBytes(MessagePacker p, byte[] bytes) throws IOException {
    return p.packBinaryHeader(bytes.length).writePayload(bytes);
  }

  private static MessagePacker packHeader(MessagePacker p, int type, int fields)
      throws IOException {
    return p.packArrayHeader(fields + 1).packInt(type);
  }

  private static Message read(int type, FieldReader r) throws IOException {
    return switch (type) {
      case HELLO ->
          new Message.Hello(
              r.readInt(),
              r.readInt(),
              r.readString(),
              r.readString(),
              r.readLong(),
              r.readString(),
              r.readString(),
              r.readString());
      case DISPATCH -> readDispatch(r);
      case STARTED -> new Message.Started(r.readLong(), r.readLong());
      case HEAD -> new Message.Head(r.readLong(), r.readInt(), r.readString());
      case CHUNK -> new Message.Chunk(r.readLong(), r.readLong(), r.readBytes());
      case RESPONSE_END -> new Message.ResponseEnd(r.readLong(), r.readLong(), r.readLong());
      case FAILED ->
          new Message.Failed(
              r.readLong(),
              r.readInt(),
              r.readString(),
              r.readLong(),
              r.readString(),
              r.readBoolean());
      case CANCEL -> new Message.Cancel(r.readLong());
      case CREDIT -> new Message.Credit(r.readLong(), r.readLong());
      case HEARTBEAT -> new Message.Heartbeat(r.readLong(), r.readLong());
      case LOAD_REPORT -> readLoadReport(r);
      case LEAVING -> new Message.Leaving();
      case DOCUMENT_DIGEST -> new Message.DocumentDigest(r.readLongsByString());
      case DOCUMENT_PULL -> new Message.DocumentPull(r.readString(), r.readLong());
      case DOCUMENT_PUSH -> new Message.DocumentPush(r.readString(), r.readBytes());
      case PERMIT_REQUEST ->
          new Message.PermitRequest(r.readString(), r.readString(), r.readString(), r.readDouble());
      case PERMIT_GRANT -> new Message.PermitGrant(r.readString(), r.readLong(), r.readLong());
      case PERMIT_RELEASE -> new Message.PermitRelease(r.readString(), r.readLong());
      case CRASH_NOTICE -> new Message.CrashNotice(r.readLong(), r.readInt());
      case RESERVE ->
          new Message.Reserve(
              r.readLong(),
              r.readString(),
              r.readString(),
              r.readLong(),
              r.readInt(),
              r.readLong(),
              r.readLong(),
              r.readLong());
      case RESERVATION_GRANTED -> new Message.ReservationGranted(r.readLong());
      case PROMPT_PROCESSED -> new Message.PromptProcessed(r.readLong());
      case RESERVATION_RELEASE -> new Message.ReservationRelease(r.readLong());
      case HOLDINGS ->
          new Message.Holdings(
              r.readString(),
              r.readStrings(),
              r.readStrings(),
              r.readInt(),
              r.readBoolean(),
              r.readLong());
      case PEER_LOAD -> new Message.PeerLoad(r.readInt(), r.readLong(), r.readInt(), r.readCount());
      case ENGINE_COSTS ->
          new Message.EngineCosts(r.readLong(), r.readLong(), r.readLong(), r.readInt());
      case USAGE_REPORT -> readUsageReport(r);
      case USAGE_UPDATE -> readUsageUpdate(r);
      case RATE_PERMIT_REQUEST ->
          new Message.RatePermitRequest(
              r.readLong(), r.readString(), r.readDouble(), r.readLong(), r.readLong());
      case RATE_PERMIT_RESPONSE ->
          new Message.RatePermitResponse(r.readLong(), r.readBoolean(), r.readLong());
      case RATE_LIMIT_LIFTED -> new Message.RateLimitLifted(r.readString(), r.readLong());
      case STREAM_BEGUN ->
          new Message.StreamBegun(
              r.readString(), r.readString(), r.readString(), r.readBoolean(), r.readLong());
      case STREAM_ORIGIN_REQUEST -> new Message.StreamOriginRequest(r.readLong(), r.readString());
      case STREAM_ORIGIN_RESPONSE ->
          new Message.StreamOriginResponse(
              r.readLong(), r.readString(), r.readString(), r.readBoolean(), r.readLong());
      case CRASH_REPORT -> new Message.CrashReport(r.readBytes());
      case CONNECTION_LOSS ->
          new Message.ConnectionLoss(
              r.readString(),
              r.readLong(),
              r.readStrings(),
              r.readLong(),
              r.readLong(),
              r.readLong());
      case LOAD_PERMIT_REQUEST ->
          new Message.LoadPermitRequest(
              r.readLong(),
              r.readCount(),
              r.readCount(),
              r.readCountLong(),
              r.readCountLong(),
              r.readCount());
      case LOAD_PERMIT_RESPONSE ->
          new Message.LoadPermitResponse(
              r.readLong(), r.readBoolean(), r.readCountLong(), r.readCountLong(), r.readCount());
      default -> new Message.Unknown(type);
    };
  }

  private static Message readDispatch(FieldReader r) throws IOException {
    return new Message.Dispatch(
        r.readLong(),
        r.readString(),
        r.readString(),
        r.readString(),
        r.readString(),
        r.readBytes(),
        r.readString(),
        r.readString(),
        r.readString(),
        r.readString(),
        r.readInt(),
        r.readLong(),
        r.readLong(),
        r.readDouble(),
        r.readDouble(),
        r.readInt(),
        r.readInt(),
        r.readInt(),
        r.readString(),
        r.readLong());
  }

  private static Message readLoadReport(FieldReader r) throws IOException {
    int running = r.readInt();
    int queued = r.readInt();
    int batch = r.readInt();
    int slots = r.readInt();
    long queueWait = r.readLong();
    long loadWait = r.readLong();
    List<String> resident = r.readStrings();
    return new Message.LoadReport(running, queued, batch, slots, queueWait, loadWait, resident);
  }
}
