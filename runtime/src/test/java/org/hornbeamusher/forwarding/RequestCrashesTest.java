package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.availability.EndpointAvailability;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.loop.SimulatedLoop;
import org.hornbeamusher.placement.EndpointView;
import org.hornbeamusher.placement.PromptPart;
import org.hornbeamusher.quarantine.CrashHistory;
import org.hornbeamusher.quarantine.QuarantineSettings;
import org.hornbeamusher.suspects.CrashRecordCodec;
import org.hornbeamusher.suspects.CrashRecordTable;
import org.hornbeamusher.table.InMemoryTable;
import org.hornbeamusher.watch.ChangedRow;
import org.hornbeamusher.watch.RowContent;
import org.hornbeamusher.watch.TableChanges;
import org.hornbeamusher.wire.Message;
import org.junit.jupiter.api.Test;

/** Which ends of endpoints count for the requests that were sent there. */
class RequestCrashesTest {

  private static final InetSocketAddress RELAY = InetSocketAddress.createUnresolved("relay", 1);
  private static final long EPOCH_MILLIS = 1_764_000_000_000L;
  private static final int LIMIT = QuarantineSettings.WITHOUT_ISOLATION.crashLimit();
  private static final long CLOCK_ERROR_MILLIS = 20;
  private static final long RUN_MILLIS = 100;
  private static final long SECOND_MILLIS = 1_000;
  private static final AttemptResponse RESPONSE =
      new AttemptResponse("r", new EndpointId("e"), 200);

  private final SimulatedLoop loop = new SimulatedLoop();
  private int endpoints;
  private int requests;

  /** Guards against quarantine by endpoints that ended before the request was sent. */
  @Test
  void endDoesNotCountIfTheEndpointWasNotSeenAfterTheSend() {
    Entry entry = new Entry();
    for (int i = 0; i < 2 * LIMIT; i++) {
      EndpointView endpoint = endpoint();
      entry.crashes.seen(endpoint.incarnation());
      pass(1);
      long sent = loop.clock().millis();
      pass(RUN_MILLIS);
      entry.crashes.incarnationEnded(endpoint.incarnation(), "not-seen");
      entry.crashes.connectionLost(endpoint, different(), silent(sent));
      pass(SECOND_MILLIS);
    }
    assertFalse(entry.crashes.isRefused(different()));
    assertEquals(List.of(), entry.history.openRecords());
  }

  /** Guards against a cause that escapes because the head of its response was discarded. */
  @Test
  void endCountsIfAnythingOfTheEndpointArrivedAfterTheSend() {
    Entry entry = new Entry();
    for (int i = 0; i < LIMIT; i++) {
      EndpointView endpoint = endpoint();
      long sent = loop.clock().millis();
      pass(RUN_MILLIS / 2);
      if (i % 2 == 0) {
        entry.crashes.seen(endpoint.incarnation());
      } else {
        entry.crashes.responded(endpoint.incarnation(), sent - 1);
      }
      pass(RUN_MILLIS / 2);
      entry.crashes.incarnationEnded(endpoint.incarnation(), "not-seen");
      entry.crashes.connectionLost(endpoint, different(), silent(sent));
      pass(SECOND_MILLIS);
    }
    assertTrue(entry.crashes.isRefused(different()));
  }

  /** Guards against a response of the next incarnation that is taken for one of the former. */
  @Test
  void responsesOfTheNextIncarnationDoNotShowThatTheFormerRan() {
    Entry entry = new Entry();
    for (int i = 0; i < 2 * LIMIT; i++) {
      EndpointView endpoint = endpoint();
      long sent = loop.clock().millis();
      pass(RUN_MILLIS);
      if (i % 2 == 0) {
        entry.crashes.responded(endpoint.incarnation(), sent);
      }
      entry.crashes.incarnationEnded(endpoint.incarnation(), "restarted");
      entry.crashes.responded(endpoint.incarnation(), sent);
      entry.crashes.connectionLost(endpoint, different(), silent(sent));
      pass(SECOND_MILLIS);
    }
    assertFalse(entry.crashes.isRefused(different()));
  }

  /** Guards against cancelled requests that count for endpoints that had ended before. */
  @Test
  void endCountsForCancelledRequestsOnlyIfTheEndpointWasSeenAfterTheSend() {
    for (boolean seen : new boolean[] {false, true}) {
      Entry entry = new Entry();
      for (int i = 0; i < LIMIT; i++) {
        EndpointView endpoint = endpoint();
        long sent = loop.clock().millis();
        pass(RUN_MILLIS);
        if (seen) {
          entry.crashes.seen(endpoint.incarnation());
        }
        entry.crashes.cancelled(endpoint, different(), silent(sent));
        pass(RUN_MILLIS);
        entry.crashes.incarnationEnded(endpoint.incarnation(), "not-seen");
        pass(SECOND_MILLIS);
      }
      assertEquals(seen, entry.crashes.isRefused(different()));
    }
  }

  /** Guards against refusing a content while it is unknown whether many endpoints ended. */
  @Test
  void unconfirmedLossesAtOneTimeCountOnce() {
    Entry entry = new Entry();
    List<EndpointView> lost = List.of(endpoint(), endpoint(), endpoint(), endpoint());
    pass(RUN_MILLIS);
    for (EndpointView endpoint : lost) {
      entry.crashes.connectionLost(endpoint, same(), endedByPeer(0));
      pass(1);
    }
    assertFalse(entry.crashes.isRefused(same()));
  }

  /** Guards against a request that is sent on and on before the first verdict. */
  @Test
  void unconfirmedLossesOfRequestThatWasSentAgainAfterEachCount() {
    Entry entry = new Entry();
    for (int i = 0; i < LIMIT; i++) {
      pass(2);
      long sent = loop.clock().millis();
      pass(2);
      entry.crashes.connectionLost(endpoint(), same(), endedByPeer(sent));
    }
    assertTrue(entry.crashes.isRefused(same()));
  }

  /** Guards against relayed losses that count without a sign that the endpoint ran. */
  @Test
  void relayedLossesCountOnlyWithTheirTimes() {
    for (boolean timed : new boolean[] {false, true}) {
      Entry entry = new Entry();
      for (int i = 0; i < LIMIT; i++) {
        EndpointView endpoint = endpoint();
        entry.reports.received(loss(endpoint, timed ? wallMillis() : 0));
        entry.crashes.incarnationEnded(endpoint.incarnation(), "not-seen");
        pass(SECOND_MILLIS);
      }
      assertEquals(timed, entry.crashes.isRefused(different()));
    }
  }

  /** Guards against an entry that stops at a malformed message, or counts it. */
  @Test
  void relayedLossWithNegativeTimesIsIgnored() {
    Entry entry = new Entry();
    entry.reports.received(loss(endpoint(), -5));
    assertEquals(List.of(), entry.history.openRecords());
  }

  /** Guards against losses that reach other entries though they count for nothing. */
  @Test
  void lossIsReportedWithItsTimes() {
    Entry entry = new Entry();
    pass(10);
    entry.crashes.connectionLost(endpoint(), different(), silent(5));
    assertEquals(List.of(), entry.sent);
    entry.crashes.connectionLost(endpoint(), different(), endedByPeer(5));
    Message.ConnectionLoss loss = (Message.ConnectionLoss) entry.sent.get(0);
    assertEquals(EPOCH_MILLIS + 5, loss.sentMillis());
    assertEquals(EPOCH_MILLIS + 5, loss.runningMillis());
    assertEquals(EPOCH_MILLIS + 10, loss.lostMillis());
  }

  /** Guards against a quarantine that stays although another entry sees the part answered. */
  @Test
  void quarantineIsLiftedWhenAnotherEntrySeesThePartAnswered() {
    Entry first = quarantiningEntry();
    Entry second = new Entry();
    first.sentReports().forEach(report -> second.reports.received(RELAY, report));
    assertTrue(second.crashes.isRefused(different()));
    second.sent.clear();
    second.crashes.answered(different(), RESPONSE);
    second.sentReports().forEach(report -> first.reports.received(RELAY, report));
    assertFalse(first.crashes.isRefused(different()));
    assertFalse(second.crashes.isRefused(different()));
  }

  /** Guards against a quarantine of a part that another entry saw answered shortly before. */
  @Test
  void quarantineIsLiftedByAnEntryThatSawThePartAnsweredBefore() {
    Entry second = new Entry();
    second.crashes.answered(different(), RESPONSE);
    Entry first = quarantiningEntry();
    first.sentReports().forEach(report -> second.reports.received(RELAY, report));
    second.sentReports().forEach(report -> first.reports.received(RELAY, report));
    assertFalse(first.crashes.isRefused(different()));
  }

  /** Guards against an entry that keeps to itself that a part in the table was answered. */
  @Test
  void quarantineInTheTableIsLiftedByAnEntryThatSawThePartAnswered() {
    Entry second = new Entry();
    second.crashes.answered(different(), RESPONSE);
    Entry first = quarantiningEntry();
    List<ChangedRow> rows =
        first.history.openRecords().stream()
            .map(
                record ->
                    new ChangedRow(
                        record.suspect().toString(),
                        new RowContent.Present(CrashRecordCodec.encode(record), 1)))
            .toList();
    second.reports.tableRead(new TableChanges(rows, 1, true));
    second.sentReports().forEach(report -> first.reports.received(RELAY, report));
    assertFalse(first.crashes.isRefused(different()));
  }

  /**
   * Guards against retries at one entry that count once because its estimate of a clock changes.
   */
  @Test
  void retriesCountEachThoughEstimateOfServiceClockChanges() {
    Entry entry = new Entry();
    for (int i = 0; i < LIMIT; i++) {
      long sentMillis = loop.clock().millis();
      pass(RUN_MILLIS);
      entry.clockErrorMillis = -i;
      crash(entry, sentMillis);
    }
    assertTrue(entry.crashes.isRefused(same()));
  }

  /** Guards against ends at one time that look like several because estimates of a clock differ. */
  @Test
  void endsAtOneTimeCountOnceThoughEstimatesOfServiceClockDiffer() {
    Entry first = new Entry();
    long sentMillis = loop.clock().millis();
    pass(CLOCK_ERROR_MILLIS);
    for (int i = 0; i < LIMIT; i++) {
      Entry entry = new Entry();
      entry.clockErrorMillis = i * CLOCK_ERROR_MILLIS;
      crash(entry, sentMillis);
      entry.sentReports().forEach(report -> first.reports.received(RELAY, report));
    }
    assertFalse(first.crashes.isRefused(same()));
  }

  private void crash(Entry entry, long sentMillis) {
    EndpointView endpoint = endpoint();
    entry.crashes.connectionLost(endpoint, same(), endedByPeer(sentMillis));
    entry.crashes.incarnationEnded(endpoint.incarnation(), "not-seen");
  }

  private Entry quarantiningEntry() {
    Entry entry = new Entry();
    for (int i = 0; i < LIMIT; i++) {
      pass(SECOND_MILLIS);
      EndpointView endpoint = endpoint();
      entry.crashes.connectionLost(endpoint, different(), endedByPeer(loop.clock().millis()));
      entry.crashes.incarnationEnded(endpoint.incarnation(), "not-seen");
    }
    assertTrue(entry.crashes.isRefused(different()));
    return entry;
  }

  private Message.ConnectionLoss loss(EndpointView endpoint, long atMillis) {
    return new Message.ConnectionLoss(
        endpoint.id().value(),
        endpoint.incarnation().startMillis(),
        different().parts().stream().map(Object::toString).toList(),
        atMillis,
        atMillis,
        atMillis);
  }

  private long wallMillis() {
    return EPOCH_MILLIS + loop.clock().millis();
  }

  private void pass(long millis) {
    loop.runUntil(loop.clock().millis() + millis);
  }

  private static AttemptEvidence silent(long sentMillis) {
    return new AttemptEvidence(sentMillis, false, false);
  }

  private static AttemptEvidence endedByPeer(long sentMillis) {
    return new AttemptEvidence(sentMillis, true, false);
  }

  /** Returns a request that no other one equals and that shares a part with the others. */
  private RequestSuspects different() {
    requests++;
    return request("/" + requests, List.of(new PromptPart("a1", 1), new PromptPart("own", 1)));
  }

  private static RequestSuspects same() {
    return request("/same", List.of());
  }

  private static RequestSuspects request(String path, List<PromptPart> parts) {
    return new RequestSuspects(
        new CallerRequest("POST", "h", path, List.of(), new byte[9], 0), Optional.empty(), parts);
  }

  private EndpointView endpoint() {
    EndpointIncarnation incarnation =
        new EndpointIncarnation(new EndpointId("e-" + ++endpoints), 7);
    Endpoint endpoint =
        new Endpoint(
            incarnation, "s", URI.create("http://127.0.0.1:1"), "z", 8, false, 0, Set.of());
    return new EndpointView(endpoint, 0, 0, new EndpointAvailability());
  }

  /** One entry with a relay; health checks show nothing. */
  private final class Entry {

    /** How far the estimate of the service clock is ahead. */
    private long clockErrorMillis;

    private final List<Message> sent = new ArrayList<>();
    private final CrashHistory history = new CrashHistory(QuarantineSettings.WITHOUT_ISOLATION);
    private final CrashReports reports =
        new CrashReports(
            history,
            new CrashRecordTable(new InMemoryTable()),
            (agent, message) -> sent.add(message),
            loop,
            loop.clock());
    private final RequestCrashes crashes =
        new RequestCrashes(
            history,
            reports,
            endpoint -> CompletableFuture.completedFuture(EndpointCheck.Result.UNKNOWN),
            incarnation -> true,
            new ForwardMetrics(new MetricRegistry()),
            loop,
            loop.clock(),
            () -> EPOCH_MILLIS + clockErrorMillis + loop.clock().millis());

    Entry() {
      reports.opened(RELAY);
    }

    List<Message.CrashReport> sentReports() {
      return sent.stream()
          .filter(Message.CrashReport.class::isInstance)
          .map(Message.CrashReport.class::cast)
          .toList();
    }
  }
}
