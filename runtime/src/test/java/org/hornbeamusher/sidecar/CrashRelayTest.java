package org.hornbeamusher.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.quarantine.CrashRecord;
import org.hornbeamusher.quarantine.PromptPartId;
import org.hornbeamusher.suspects.CrashRecordCodec;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;
import org.junit.jupiter.api.Test;

class CrashRelayTest {

  private static final long RETENTION_MILLIS = 10_000;
  private static final Message.ConnectionLoss LOSS =
      new Message.ConnectionLoss("e-1", 0, List.of("part-5c1e07a2"));

  private final AtomicLong now = new AtomicLong();
  private final CrashRelay relay = new CrashRelay(now::get);
  private final Entry reporter = connect();
  private final Entry other = connect();

  /** Guards against losses that are forgotten with the entry that had them. */
  @Test
  void lossesOfEntryThatEndedArePassedOn() {
    relay.received(reporter, LOSS);
    assertEquals(List.of(), other.received);
    relay.entryDisconnected(reporter);
    assertEquals(List.of(LOSS), other.received);
    assertEquals(List.of(LOSS), connect().received);
  }

  @Test
  void oldLossesAreNotPassedOn() {
    relay.received(reporter, LOSS);
    now.addAndGet(RETENTION_MILLIS + 1);
    relay.entryDisconnected(reporter);
    assertEquals(List.of(), other.received);
  }

  /** Guards against an entry that keeps a crash that all others know to be cleared. */
  @Test
  void reporterOfClearedCrashIsCorrected() {
    relay.received(reporter, report(true));
    relay.received(other, report(false));
    CrashRecord known =
        CrashRecordCodec.decode(
                ((Message.CrashReport) other.received.get(other.received.size() - 1)).record())
            .orElseThrow();
    assertEquals(0, known.openCrashes());
  }

  private static Message.CrashReport report(boolean cleared) {
    EndpointIncarnation endpoint = new EndpointIncarnation(new EndpointId("e-1"), 0);
    return new Message.CrashReport(
        CrashRecordCodec.encode(
            new CrashRecord(
                PromptPartId.of("5c1e07a2"), List.of(new CrashRecord.Crash(endpoint, cleared)))));
  }

  private Entry connect() {
    Entry entry = new Entry();
    relay.entryConnected(entry);
    return entry;
  }

  private static final class Entry implements WireConnection {

    private final List<Message> received = new ArrayList<>();

    @Override
    public boolean send(Message message) {
      return received.add(message);
    }

    @Override
    public Message.Hello peer() {
      return new Message.Hello(1, 1, "entry", "i", 1, "z", "", "");
    }

    @Override
    public boolean isOpen() {
      return true;
    }

    @Override
    public boolean receivingLargeMessage() {
      return false;
    }

    @Override
    public void close() {}
  }
}
