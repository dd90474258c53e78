package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.loop.SimulatedLoop;
import org.hornbeamusher.quarantine.CrashHistory;
import org.hornbeamusher.quarantine.PromptPartId;
import org.hornbeamusher.quarantine.QuarantineSettings;
import org.hornbeamusher.suspects.CrashRecordTable;
import org.hornbeamusher.table.CommitResult;
import org.hornbeamusher.table.InMemoryTable;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.RowKey;
import org.hornbeamusher.table.Table;
import org.hornbeamusher.table.Transaction;
import org.hornbeamusher.watch.ChangedRow;
import org.hornbeamusher.watch.RowContent;
import org.hornbeamusher.watch.TableChanges;
import org.junit.jupiter.api.Test;

class CrashReportsTest {

  private static final PromptPartId PART = PromptPartId.of("5c1e07a2");
  private static final long DAY_MILLIS = 24L * 60 * 60 * 1_000;
  private static final long HOUR_MILLIS = 60L * 60 * 1_000;
  private static final long SOON_MILLIS = 50;
  private static final long DOWN_MILLIS = 1_500;
  private static final List<InetSocketAddress> RELAYS =
      List.of(
          InetSocketAddress.createUnresolved("relay1", 1),
          InetSocketAddress.createUnresolved("relay2", 1));

  /** Guards against a quarantine that ends only when another endpoint crashes. */
  @Test
  void quarantineOfPartEndsOneDayAfterItsLastCrash() {
    SimulatedLoop loop = new SimulatedLoop();
    CrashHistory history = new CrashHistory(QuarantineSettings.WITHOUT_ISOLATION);
    new CrashReports(
        history,
        new CrashRecordTable(new InMemoryTable()),
        (agent, message) -> {},
        loop,
        loop.clock());
    for (int i = 0; i < QuarantineSettings.WITHOUT_ISOLATION.crashLimit(); i++) {
      EndpointIncarnation endpoint = new EndpointIncarnation(new EndpointId("e-" + i), 0);
      history.recordCrash(PART, endpoint, loop.clock().millis());
    }
    loop.runUntil(DAY_MILLIS - HOUR_MILLIS);
    assertTrue(history.isQuarantined(PART, 0));
    loop.runUntil(DAY_MILLIS + HOUR_MILLIS);
    assertFalse(history.isQuarantined(PART, 0));
    assertEquals(Set.of(), history.quarantined());
  }

  /** Guards against crashes that are forgotten because the entry ends and no agent relayed them. */
  @Test
  void crashIsWrittenAtOnceWhileFewerThanTwoAgentsRelayIt() {
    for (int relays = 0; relays < RELAYS.size(); relays++) {
      Entry entry = new Entry(relays);
      entry.recordCrash();
      entry.loop.runUntil(SOON_MILLIS);
      assertEquals(1, entry.rows().size(), relays + " relays");
    }
    Entry relayed = new Entry(RELAYS.size());
    relayed.recordCrash();
    relayed.loop.runUntil(SOON_MILLIS);
    assertEquals(List.of(), relayed.rows(), "a record that is soon cleared is not written");
  }

  /** Guards against crashes that are forgotten because the entry is stopped before it writes. */
  @Test
  void crashIsWrittenBeforeAnEntryEnds() {
    Entry entry = new Entry(RELAYS.size());
    entry.recordCrash();
    entry.loop.runUntil(1);
    entry.reports.entryEnds();
    assertTrue(entry.reports.hasUnwritten());
    entry.loop.runUntil(SOON_MILLIS);
    assertEquals(1, entry.rows().size());
    entry.readTable();
    assertFalse(entry.reports.hasUnwritten());
  }

  /** Guards against an entry that ends while the store is away although it has time to wait. */
  @Test
  void entryThatEndsWritesOnceTheTableIsBack() {
    Entry entry = new Entry(RELAYS.size());
    entry.table.down(true);
    entry.reports.entryEnds();
    entry.recordCrash();
    entry.loop.runUntil(DOWN_MILLIS);
    assertTrue(entry.reports.hasUnwritten());
    entry.table.down(false);
    entry.loop.runUntil(DOWN_MILLIS + 2_000);
    entry.readTable();
    assertFalse(entry.reports.hasUnwritten());
  }

  /** Guards against records that are never written because another write was in progress. */
  @Test
  void crashIsWrittenThoughAnotherWriteIsInProgress() {
    Entry entry = new Entry(0);
    entry.table.setCommitMillis(2 * SOON_MILLIS);
    entry.recordCrash();
    entry.loop.runUntil(SOON_MILLIS);
    entry.recordCrash();
    entry.loop.runUntil(DOWN_MILLIS);
    entry.readTable();
    entry.loop.runUntil(2 * DOWN_MILLIS);
    entry.readTable();
    assertFalse(entry.reports.hasUnwritten());
  }

  /** One entry that reports crashes and is connected to some agents. */
  private static final class Entry {

    private final SimulatedLoop loop = new SimulatedLoop();
    private final SlowTable table = new SlowTable(loop);
    private final CrashHistory history = new CrashHistory(QuarantineSettings.WITHOUT_ISOLATION);
    private final CrashReports reports =
        new CrashReports(
            history, new CrashRecordTable(table), (agent, message) -> {}, loop, loop.clock());

    private int crashes;

    Entry(int relays) {
      RELAYS.subList(0, relays).forEach(reports::opened);
    }

    void recordCrash() {
      EndpointIncarnation endpoint = new EndpointIncarnation(new EndpointId("e-" + ++crashes), 0);
      reports.changed(history.recordCrash(PART, endpoint, loop.clock().millis()).orElseThrow());
    }

    List<Row> rows() {
      return table.scan(CrashRecordTable.NAME, "", "", 10).join();
    }

    void readTable() {
      List<ChangedRow> changed =
          rows().stream()
              .map(
                  row ->
                      new ChangedRow(
                          row.key().key(), new RowContent.Present(row.value(), row.revision())))
              .toList();
      reports.tableRead(new TableChanges(changed, 1, true));
    }
  }

  /** A table whose commits take a while. */
  private static final class SlowTable implements Table {

    private final InMemoryTable rows = new InMemoryTable();
    private final SimulatedLoop loop;
    private long commitMillis;

    SlowTable(SimulatedLoop loop) {
      this.loop = loop;
    }

    void setCommitMillis(long millis) {
      commitMillis = millis;
    }

    void down(boolean down) {
      rows.down(down);
    }

    @Override
    public CompletableFuture<Optional<Row>> read(RowKey key) {
      return rows.read(key);
    }

    @Override
    public CompletableFuture<List<Row>> scan(String table, String prefix, String after, int limit) {
      return rows.scan(table, prefix, after, limit);
    }

    @Override
    public CompletableFuture<CommitResult> commit(Transaction transaction) {
      CompletableFuture<CommitResult> result = new CompletableFuture<>();
      loop.after(
          commitMillis,
          () ->
              rows.commit(transaction)
                  .whenComplete(
                      (committed, thrown) -> {
                        if (thrown == null) {
                          result.complete(committed);
                        } else {
                          result.completeExceptionally(thrown);
                        }
                      }));
      return result;
    }
  }
}
