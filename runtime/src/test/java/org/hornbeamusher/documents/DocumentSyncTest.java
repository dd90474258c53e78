package org.hornbeamusher.documents;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.hornbeamusher.clock.ManualClock;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.ids.TeamId;
import org.hornbeamusher.table.InMemoryTable;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.Table;
import org.hornbeamusher.table.Transaction;
import org.junit.jupiter.api.Test;

class DocumentSyncTest {

  private static final ServiceName DISPATCH = new ServiceName("lm-dispatch");
  private static final Principal OWNER =
      new Principal(new PartnerId("zarqa"), new TeamId("dispatch"));

  private final InMemoryTable table = new InMemoryTable();
  private final ManualClock clock = new ManualClock(1_000_000);
  private final DocumentStore store = new DocumentStore(table, clock, () -> "token-" + nextToken());
  private final TestPeer first = new TestPeer();
  private final TestPeer second = new TestPeer();
  private int tokenCount;

  @Test
  void pollReadsOnlyWhatIsNewer() {
    submit(7, 0);
    first.sync.poll().join();
    int before = table.reads();

    first.sync.poll().join();

    assertEquals(1, table.reads() - before);
    assertEquals(List.of(1L), first.versions);
  }

  /**
   * The table is unavailable when a process starts. It must get the documents from the first peer
   * it connects to.
   */
  @Test
  void processStartedDuringOutageReadsFromPeer() {
    submit(7, 0);
    first.sync.poll().join();
    table.down(true);
    second.sync.poll().join();

    second.sync.digestHashReceived(first, first.latestDocuments.digestHash());

    assertEquals(
        7, second.latestDocuments.current(DISPATCH).orElseThrow().limits().maxQueueLength());
  }

  @Test
  void changeIsSentAsDelta() {
    submit(7, 0);
    first.sync.poll().join();
    second.sync.digestHashReceived(first, first.latestDocuments.digestHash());
    submit(8, 1);
    submit(9, 2);
    first.sync.poll().join();

    second.sync.digestHashReceived(first, first.latestDocuments.digestHash());

    assertInstanceOf(DocumentUpdate.Deltas.class, first.sent.get(1));
    assertEquals(List.of(1L, 3L), second.versions);
    assertEquals(first.latestDocuments.digestHash(), second.latestDocuments.digestHash());
  }

  /**
   * Heartbeats of a peer with older versions repeat the same hash every second. Requesting its
   * digest each time would cost more than the heartbeats themselves.
   */
  @Test
  void digestOfOutdatedPeerIsRequestedOnce() {
    submit(7, 0);
    first.sync.poll().join();

    first.sync.digestHashReceived(second, second.latestDocuments.digestHash());
    first.sync.digestHashReceived(second, second.latestDocuments.digestHash());

    assertEquals(1, second.digestRequests);
  }

  /**
   * The connection stops delivering for good between request and response. The next heartbeat of
   * any peer after the timeout must start another pull, or this process would keep the old version.
   */
  @Test
  void pullWithoutResponseIsRetriedAfterTimeout() {
    submit(7, 0);
    first.sync.poll().join();
    first.unresponsive = true;
    second.sync.digestHashReceived(first, first.latestDocuments.digestHash());
    first.unresponsive = false;
    second.sync.digestHashReceived(first, first.latestDocuments.digestHash());
    assertTrue(second.latestDocuments.all().isEmpty());

    clock.advance(PullLedger.PULL_TIMEOUT_MILLIS);
    second.sync.digestHashReceived(first, first.latestDocuments.digestHash());

    assertEquals(1, second.latestDocuments.all().size());
  }

  /** Guards against concurrent polls of many documents over a slow link. */
  @Test
  void secondPollJoinsTheOneInProgress() {
    AtomicInteger scans = new AtomicInteger();
    CompletableFuture<List<Row>> response = new CompletableFuture<>();
    Table slow =
        new AfterCommitTable(table, () -> {}) {
          @Override
          public CompletableFuture<List<Row>> scan(
              String name, String prefix, String after, int limit) {
            scans.incrementAndGet();
            return response;
          }
        };
    DocumentSync sync =
        new DocumentSync(
            new LatestDocuments(),
            new DocumentStore(slow, clock, () -> "token"),
            clock,
            PollPlan.STANDARD,
            () -> 1,
            new Random(1));
    CompletableFuture<Void> poll = sync.poll();
    sync.poll();
    assertEquals(1, scans.get());
    response.complete(List.of());
    poll.join();
    sync.poll().join();
    assertEquals(2, scans.get());
  }

  /** Guards against requesting a large document again and again while it arrives. */
  @Test
  void pullWhoseResponseIsArrivingIsNotRetried() {
    submit(7, 0);
    first.sync.poll().join();
    first.unresponsive = true;
    first.receiving = true;
    second.sync.digestHashReceived(first, first.latestDocuments.digestHash());
    first.unresponsive = false;

    clock.advance(PullLedger.PULL_TIMEOUT_MILLIS);
    second.sync.digestHashReceived(first, first.latestDocuments.digestHash());
    assertEquals(0, first.sent.size());

    first.receiving = false;
    second.sync.digestHashReceived(first, first.latestDocuments.digestHash());
    assertEquals(1, first.sent.size());
  }

  /**
   * A later release wrote a document with a key that this one does not know, as happens during an
   * upgrade. The other documents must still become current.
   */
  @Test
  void unreadableDocumentDoesNotBlockOthers() {
    store.submit("v", DocumentTexts.valuer(5), 0, otherPartner()).join();
    submit(7, 0);
    StoredDocument strange =
        new StoredDocument(DISPATCH, 1, false, OWNER, 1, "s", "new_key = true\n");
    table
        .commit(
            new Transaction(
                List.of(),
                List.of(
                    new Transaction.Write.Put(
                        DocumentRows.document(DISPATCH), DocumentRows.encodeDocument(strange)))))
        .join();

    first.sync.poll().join();

    assertEquals(1, first.latestDocuments.all().size());
  }

  private static Principal otherPartner() {
    return new Principal(new PartnerId("tawhiti"), new TeamId("valuations"));
  }

  private int nextToken() {
    return ++tokenCount;
  }

  private void submit(int queue, long base) {
    store.submit("f", DocumentTexts.dispatch(queue), base, OWNER).join();
  }

  private final class TestPeer implements DocumentPeer {

    private final LatestDocuments latestDocuments = new LatestDocuments();
    private final DocumentSync sync =
        new DocumentSync(latestDocuments, store, clock, PollPlan.STANDARD, () -> 1, new Random(1));
    private final List<Long> versions = new ArrayList<>();
    private final List<DocumentUpdate> sent = new ArrayList<>();
    private int digestRequests;
    private boolean unresponsive;
    private boolean receiving;

    TestPeer() {
      sync.addListener(document -> versions.add(document.version()));
    }

    @Override
    public CompletableFuture<Map<ServiceName, Long>> digest() {
      digestRequests++;
      return CompletableFuture.completedFuture(
          DocumentCodec.decodeDigest(DocumentCodec.encodeDigest(latestDocuments.digest())));
    }

    @Override
    public boolean receivingLargeMessage() {
      return receiving;
    }

    @Override
    public CompletableFuture<DocumentUpdate> pull(ServiceName service, long haveVersion) {
      if (unresponsive) {
        return new CompletableFuture<>();
      }
      DocumentUpdate update = latestDocuments.updateSince(service, haveVersion);
      sent.add(update);
      return CompletableFuture.completedFuture(
          DocumentCodec.decodeUpdate(DocumentCodec.encodeUpdate(update)));
    }
  }
}
