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
  private final DocumentStore store = new DocumentStore(table, clock, () -> "token-" + drawn());
  private final Process first = new Process();
  private final Process second = new Process();
  private int drawn;

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
   * The table is down when a process starts. Its callers are served all the same, because the first
   * peer it meets has every document.
   */
  @Test
  void processStartedDuringOutageLearnsFromPeer() {
    submit(7, 0);
    first.sync.poll().join();
    table.down(true);
    second.sync.poll().join();

    second.sync.digestHashReceived(first, first.holder.digestHash());

    assertEquals(7, second.holder.current(DISPATCH).orElseThrow().limits().maxQueueLength());
  }

  @Test
  void changeTravelsAsDifference() {
    submit(7, 0);
    first.sync.poll().join();
    second.sync.digestHashReceived(first, first.holder.digestHash());
    submit(8, 1);
    submit(9, 2);
    first.sync.poll().join();

    second.sync.digestHashReceived(first, first.holder.digestHash());

    assertInstanceOf(DocumentUpdate.Deltas.class, first.sent.get(1));
    assertEquals(List.of(1L, 3L), second.versions);
    assertEquals(first.holder.digestHash(), second.holder.digestHash());
  }

  /**
   * Heartbeats of a peer that is behind repeat the same hash every second. Asking it for its digest
   * each time would cost more than the heartbeats themselves.
   */
  @Test
  void peerThatIsBehindIsAskedOnce() {
    submit(7, 0);
    first.sync.poll().join();

    first.sync.digestHashReceived(second, second.holder.digestHash());
    first.sync.digestHashReceived(second, second.holder.digestHash());

    assertEquals(1, second.digests);
  }

  /**
   * The connection goes silent between the question and the answer, for good. The next heartbeat of
   * any peer after the patience must ask again, or this process would keep the old version.
   */
  @Test
  void unansweredPullIsRepeatedAfterPatience() {
    submit(7, 0);
    first.sync.poll().join();
    first.silent = true;
    second.sync.digestHashReceived(first, first.holder.digestHash());
    first.silent = false;
    second.sync.digestHashReceived(first, first.holder.digestHash());
    assertTrue(second.holder.all().isEmpty());

    clock.advance(PullLedger.PATIENCE_MILLIS);
    second.sync.digestHashReceived(first, first.holder.digestHash());

    assertEquals(1, second.holder.all().size());
  }

  /** Guards against polls of many documents that run beside each other over a thin link. */
  @Test
  void pollUnderWayIsNotDoubled() {
    AtomicInteger scans = new AtomicInteger();
    CompletableFuture<List<Row>> answer = new CompletableFuture<>();
    Table slow =
        new FollowedTable(table, () -> {}) {
          @Override
          public CompletableFuture<List<Row>> scan(
              String name, String prefix, String after, int limit) {
            scans.incrementAndGet();
            return answer;
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
    answer.complete(List.of());
    poll.join();
    sync.poll().join();
    assertEquals(2, scans.get());
  }

  /** Guards against a large document that is asked for again and again while it arrives. */
  @Test
  void pullThatIsStillArrivingIsNotRepeated() {
    submit(7, 0);
    first.sync.poll().join();
    first.silent = true;
    first.arriving = true;
    second.sync.digestHashReceived(first, first.holder.digestHash());
    first.silent = false;

    clock.advance(PullLedger.PATIENCE_MILLIS);
    second.sync.digestHashReceived(first, first.holder.digestHash());
    assertEquals(0, first.sent.size());

    first.arriving = false;
    second.sync.digestHashReceived(first, first.holder.digestHash());
    assertEquals(1, first.sent.size());
  }

  /**
   * A later release wrote a document with a key this one does not know, as happens in the middle of
   * an upgrade. The other documents must still come into force.
   */
  @Test
  void unreadableDocumentDoesNotKeepOthersOut() {
    store.submit("v", DocumentTexts.valuer(5), 0, stranger()).join();
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

    assertEquals(1, first.holder.all().size());
  }

  private static Principal stranger() {
    return new Principal(new PartnerId("tawhiti"), new TeamId("valuations"));
  }

  private int drawn() {
    return ++drawn;
  }

  private void submit(int queue, long base) {
    store.submit("f", DocumentTexts.dispatch(queue), base, OWNER).join();
  }

  private final class Process implements DocumentPeer {

    private final LatestDocuments holder = new LatestDocuments();
    private final DocumentSync sync =
        new DocumentSync(holder, store, clock, PollPlan.STANDARD, () -> 1, new Random(1));
    private final List<Long> versions = new ArrayList<>();
    private final List<DocumentUpdate> sent = new ArrayList<>();
    private int digests;
    private boolean silent;
    private boolean arriving;

    Process() {
      sync.addListener(document -> versions.add(document.version()));
    }

    @Override
    public CompletableFuture<Map<ServiceName, Long>> digest() {
      digests++;
      return CompletableFuture.completedFuture(
          DocumentCodec.decodeDigest(DocumentCodec.encodeDigest(holder.digest())));
    }

    @Override
    public boolean receiving() {
      return arriving;
    }

    @Override
    public CompletableFuture<DocumentUpdate> pull(ServiceName service, long haveVersion) {
      if (silent) {
        return new CompletableFuture<>();
      }
      DocumentUpdate update = holder.updateSince(service, haveVersion);
      sent.add(update);
      return CompletableFuture.completedFuture(
          DocumentCodec.decodeUpdate(DocumentCodec.encodeUpdate(update)));
    }
  }
}
