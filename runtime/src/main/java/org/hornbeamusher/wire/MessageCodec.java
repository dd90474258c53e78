package org.hornbeamusher.wire;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Turns messages into frame contents and back. Type numbers are never reused. */
public final class MessageCodec {

  private static final int HELLO = 1;
  private static final int DISPATCH = 2;
  private static final int STARTED = 3;
  private static final int HEAD = 4;
  private static final int CHUNK = 5;
  private static final int CLOSING = 6;
  private static final int FAILED = 7;
  private static final int CANCEL = 8;
  private static final int CREDIT = 9;
  private static final int HEARTBEAT = 10;
  private static final int LOAD_REPORT = 11;
  private static final int LEAVING = 12;
  private static final int DOCUMENT_DIGEST = 13;
  private static final int DOCUMENT_PULL = 14;
  private static final int DOCUMENT_PUSH = 15;
  private static final int PERMIT_ASK = 16;
  private static final int PERMIT_GRANT = 17;
  private static final int PERMIT_DONE = 18;
  private static final int CRASH_NOTICE = 19;
  private static final int RESERVE = 20;
  private static final int GRANTED = 21;
  private static final int PROMPT_READ = 22;
  private static final int RELEASE = 23;
  private static final int HOLDINGS = 24;
  private static final int PEER_LOAD = 25;
  private static final int ENGINE_COSTS = 26;
  private static final int USAGE_REPORT = 27;
  private static final int USAGE_UPDATE = 28;
  private static final int RATE_PERMIT_REQUEST = 29;
  private static final int RATE_PERMIT_REPLY = 30;
  private static final int RATE_LIMIT_LIFTED = 31;

  /**
   * Most messages carry one token or less. The default of 8 KiB, allocated for each message, was a
   * fifth of all that the process allocated; a longer message takes more buffers of this size.
   */
  private static final MessagePack.PackerConfig PACKER =
      new MessagePack.PackerConfig().withBufferSize(512);

  private MessageCodec() {}

  /**
   * Encodes a message.
   *
   * @param message what to send
   * @return the frame's content
   */
  public static byte[] encode(Message message) {
    try (MessageBufferPacker packer = PACKER.newBufferPacker()) {
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
   * @return the message, {@link Message.Unknown} for a type number not known here
   * @throws HornbeamusherException of type {@code FRAME_MALFORMED} for anything else
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
          begin(p, HELLO, 8)
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
          begin(p, STARTED, 2).packLong(m.attempt()).packLong(m.loadStallMillis());
      case Message.Head m ->
          begin(p, HEAD, 3).packLong(m.attempt()).packInt(m.status()).packString(m.contentType());
      case Message.Chunk m ->
          packBytes(begin(p, CHUNK, 3).packLong(m.attempt()).packLong(m.sequence()), m.bytes());
      case Message.ResponseEnd m ->
          begin(p, CLOSING, 3).packLong(m.attempt()).packLong(m.chunks()).packLong(m.checksum());
      case Message.Failed m ->
          begin(p, FAILED, 6)
              .packLong(m.attempt())
              .packInt(m.failureNumber())
              .packString(m.outcome())
              .packLong(m.retryAfterMillis())
              .packString(m.detail())
              .packBoolean(m.crashed());
      case Message.Cancel m -> begin(p, CANCEL, 1).packLong(m.attempt());
      case Message.Credit m -> begin(p, CREDIT, 2).packLong(m.attempt()).packLong(m.bytes());
      case Message.Heartbeat m ->
          begin(p, HEARTBEAT, 2).packLong(m.sequence()).packLong(m.documentDigest());
      case Message.LoadReport m -> packLoadReport(p, m);
      case Message.Leaving m -> begin(p, LEAVING, 0);
      case Message.DocumentDigest m -> packNumbers(begin(p, DOCUMENT_DIGEST, 1), m.versions());
      case Message.DocumentPull m ->
          begin(p, DOCUMENT_PULL, 2).packString(m.service()).packLong(m.haveVersion());
      case Message.DocumentPush m ->
          packBytes(begin(p, DOCUMENT_PUSH, 2).packString(m.service()), m.content());
      case Message.PermitRequest m ->
          begin(p, PERMIT_ASK, 4)
              .packString(m.store())
              .packString(m.endpoint())
              .packString(m.partner())
              .packDouble(m.demand());
      case Message.PermitGrant m ->
          begin(p, PERMIT_GRANT, 3)
              .packString(m.store())
              .packLong(m.grantId())
              .packLong(m.expiresMillis());
      case Message.PermitRelease m ->
          begin(p, PERMIT_DONE, 2).packString(m.store()).packLong(m.grantId());
      case Message.CrashNotice m ->
          begin(p, CRASH_NOTICE, 2).packLong(m.fingerprint()).packInt(m.crashes());
      case Message.Reserve m ->
          begin(p, RESERVE, 8)
              .packLong(m.reservation())
              .packString(m.requestId())
              .packString(m.adapter())
              .packLong(m.version())
              .packInt(m.rank())
              .packLong(m.pendingPromptTokens())
              .packLong(m.maxWaitMillis())
              .packLong(m.firstEventTargetMillis());
      case Message.ReservationGranted m -> begin(p, GRANTED, 1).packLong(m.reservation());
      case Message.PromptProcessed m -> begin(p, PROMPT_READ, 1).packLong(m.reservation());
      case Message.ReservationRelease m -> begin(p, RELEASE, 1).packLong(m.reservation());
      case Message.Holdings m -> packHoldings(p, m);
      case Message.PeerLoad m ->
          begin(p, PEER_LOAD, 3)
              .packInt(m.requests())
              .packLong(m.pendingPromptTokens())
              .packInt(m.spareSlots());
      case Message.EngineCosts m ->
          begin(p, ENGINE_COSTS, 4)
              .packLong(m.storeLoadMillis())
              .packLong(m.cachedLoadMillis())
              .packLong(m.slotWaitMillis())
              .packInt(m.cachedAdapters());
      case Message.UsageReport m -> packNumbers(begin(p, USAGE_REPORT, 1), m.increments());
      case Message.UsageUpdate m -> {
        packNumbers(begin(p, USAGE_UPDATE, 3), m.increments());
        p.packInt(m.reachableEntryCount()).packInt(m.entryCount());
      }
      case Message.RatePermitRequest m ->
          begin(p, RATE_PERMIT_REQUEST, 5)
              .packLong(m.requestNumber())
              .packString(m.endpoint())
              .packDouble(m.perSecond())
              .packLong(m.advertisedAgoMillis())
              .packLong(m.maxWaitMillis());
      case Message.RatePermitResponse m ->
          begin(p, RATE_PERMIT_REPLY, 3)
              .packLong(m.requestNumber())
              .packBoolean(m.granted())
              .packLong(m.waitMillis());
      case Message.RateLimitLifted m ->
          begin(p, RATE_LIMIT_LIFTED, 2).packString(m.endpoint()).packLong(m.sentAgoMillis());
      case Message.Unknown m -> begin(p, m.type(), 0);
    }
  }

  private static void packDispatch(MessagePacker p, Message.Dispatch m) throws IOException {
    begin(p, DISPATCH, 20)
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
    begin(p, LOAD_REPORT, 7)
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

  private static void packNumbers(MessagePacker p, Map<String, Long> numbers) throws IOException {
    p.packMapHeader(numbers.size());
    for (Map.Entry<String, Long> entry : numbers.entrySet()) {
      p.packString(entry.getKey()).packLong(entry.getValue());
    }
  }

  private static void packHoldings(MessagePacker p, Message.Holdings m) throws IOException {
    begin(p, HOLDINGS, 6).packString(m.endpoint());
    packTexts(p, m.resident());
    packTexts(p, m.loading());
    p.packInt(m.entryCount()).packBoolean(m.leaving()).packLong(m.startMillis());
  }

  private static void packTexts(MessagePacker p, List<String> texts) throws IOException {
    p.packArrayHeader(texts.size());
    for (String text : texts) {
      p.packString(text);
    }
  }

  private static MessagePacker packBytes(MessagePacker p, byte[] bytes) throws IOException {
    return p.packBinaryHeader(bytes.length).writePayload(bytes);
  }

  private static MessagePacker begin(MessagePacker p, int type, int fields) throws IOException {
    return p.packArrayHeader(fields + 1).packInt(type);
  }

  private static Message read(int type, FieldReader r) throws IOException {
    return switch (type) {
      case HELLO ->
          new Message.Hello(
              r.integer(),
              r.integer(),
              r.text(),
              r.text(),
              r.number(),
              r.text(),
              r.text(),
              r.text());
      case DISPATCH -> readDispatch(r);
      case STARTED -> new Message.Started(r.number(), r.number());
      case HEAD -> new Message.Head(r.number(), r.integer(), r.text());
      case CHUNK -> new Message.Chunk(r.number(), r.number(), r.bytes());
      case CLOSING -> new Message.ResponseEnd(r.number(), r.number(), r.number());
      case FAILED ->
          new Message.Failed(r.number(), r.integer(), r.text(), r.number(), r.text(), r.flag());
      case CANCEL -> new Message.Cancel(r.number());
      case CREDIT -> new Message.Credit(r.number(), r.number());
      case HEARTBEAT -> new Message.Heartbeat(r.number(), r.number());
      case LOAD_REPORT -> readLoadReport(r);
      case LEAVING -> new Message.Leaving();
      case DOCUMENT_DIGEST -> new Message.DocumentDigest(r.numbersByText());
      case DOCUMENT_PULL -> new Message.DocumentPull(r.text(), r.number());
      case DOCUMENT_PUSH -> new Message.DocumentPush(r.text(), r.bytes());
      case PERMIT_ASK -> new Message.PermitRequest(r.text(), r.text(), r.text(), r.real());
      case PERMIT_GRANT -> new Message.PermitGrant(r.text(), r.number(), r.number());
      case PERMIT_DONE -> new Message.PermitRelease(r.text(), r.number());
      case CRASH_NOTICE -> new Message.CrashNotice(r.number(), r.integer());
      case RESERVE ->
          new Message.Reserve(
              r.number(),
              r.text(),
              r.text(),
              r.number(),
              r.integer(),
              r.number(),
              r.number(),
              r.number());
      case GRANTED -> new Message.ReservationGranted(r.number());
      case PROMPT_READ -> new Message.PromptProcessed(r.number());
      case RELEASE -> new Message.ReservationRelease(r.number());
      case HOLDINGS ->
          new Message.Holdings(r.text(), r.texts(), r.texts(), r.integer(), r.flag(), r.number());
      case PEER_LOAD -> new Message.PeerLoad(r.integer(), r.number(), r.integer());
      case ENGINE_COSTS -> new Message.EngineCosts(r.number(), r.number(), r.number(), r.integer());
      case USAGE_REPORT -> new Message.UsageReport(r.numbersByText());
      case USAGE_UPDATE -> new Message.UsageUpdate(r.numbersByText(), r.integer(), r.integer());
      case RATE_PERMIT_REQUEST ->
          new Message.RatePermitRequest(r.number(), r.text(), r.real(), r.number(), r.number());
      case RATE_PERMIT_REPLY -> new Message.RatePermitResponse(r.number(), r.flag(), r.number());
      case RATE_LIMIT_LIFTED -> new Message.RateLimitLifted(r.text(), r.number());
      default -> new Message.Unknown(type);
    };
  }

  private static Message readDispatch(FieldReader r) throws IOException {
    return new Message.Dispatch(
        r.number(),
        r.text(),
        r.text(),
        r.text(),
        r.text(),
        r.bytes(),
        r.text(),
        r.text(),
        r.text(),
        r.text(),
        r.integer(),
        r.number(),
        r.number(),
        r.real(),
        r.real(),
        r.integer(),
        r.integer(),
        r.integer(),
        r.text(),
        r.number());
  }

  private static Message readLoadReport(FieldReader r) throws IOException {
    int running = r.integer();
    int queued = r.integer();
    int batch = r.integer();
    int slots = r.integer();
    long queueWait = r.number();
    long loadWait = r.number();
    List<String> resident = r.texts();
    return new Message.LoadReport(running, queued, batch, slots, queueWait, loadWait, resident);
  }
}
