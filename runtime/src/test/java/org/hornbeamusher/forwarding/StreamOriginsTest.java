package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.hornbeamusher.directory.Endpoint;
import org.hornbeamusher.directory.SoftwareHistory;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.EndpointIncarnation;
import org.hornbeamusher.ids.SoftwareVersion;
import org.hornbeamusher.loop.SimulatedLoop;
import org.hornbeamusher.table.InMemoryTable;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.RowKey;
import org.hornbeamusher.table.Transaction;
import org.hornbeamusher.wire.Message;
import org.junit.jupiter.api.Test;

class StreamOriginsTest {

  private static final RowKey ROW = new RowKey("software", "s");

  private final SimulatedLoop loop = new SimulatedLoop();
  private final InMemoryTable table = new InMemoryTable();
  private final SoftwareHistory history = new SoftwareHistory();
  private final List<Endpoint> endpoints = new ArrayList<>();
  private final StreamOrigins origins = entry("e1", history);

  private StreamOrigins entry(String name, SoftwareHistory known) {
    return new StreamOrigins(
        new AgentConnections(
            new HashMap<>(),
            new Message.Hello(1, 1, "entry", name, 0, "z", "", ""),
            null,
            loop,
            loop.clock()),
        known,
        () -> endpoints,
        new SoftwareVersionTable(table),
        new StreamOriginTable(table, name, loop.clock()),
        new ForwardMetrics(new MetricRegistry()),
        loop,
        loop.clock());
  }

  /** Guards against a version that is never written because the table was away when it came. */
  @Test
  void versionsAreWrittenOnceTheTableIsBack() {
    table.down(true);
    add("a", "v1");
    loop.runUntil(10_000);
    assertEquals(Optional.empty(), table.read(ROW).exceptionally(away -> Optional.empty()).join());
    table.down(false);
    loop.runUntil(15_000);
    assertEquals("[\"v1\"]", stored());
  }

  /** Guards against a row that names versions long after their endpoints have gone. */
  @Test
  void versionThatHasGoneIsRemovedAfterTheRetention() {
    add("a", "v1");
    add("b", "v2");
    runWithLists(2_000);
    assertEquals("[\"v1\",\"v2\"]", stored());
    Endpoint gone = endpoints.remove(0);
    history.removed(gone, loop.clock().millis());
    origins.endpointsChanged("s");
    runWithLists(SoftwareHistory.RETENTION_MILLIS);
    assertEquals("[\"v1\",\"v2\"]", stored());
    runWithLists(3 * SoftwareHistory.RETENTION_MILLIS);
    assertEquals("[\"v2\"]", stored());
  }

  /**
   * Guards against a list that shows one version and does not reach back to where a stream began.
   */
  @Test
  void listDoesNotDecideBeforeItReachesBackToTheLongestStream() {
    table.commit(put("[\"v1\",\"v2\"]")).join();
    add("a", "v2");
    runWithLists(20_000);
    List<Optional<StreamOrigin>> found = new ArrayList<>();
    origins.find(resumed("unknown"), "s", found::add);
    runWithLists(21_000);
    assertEquals(List.of(Optional.empty()), found);
  }

  /** Guards against a list that an entry out of step received before a new version began. */
  @Test
  void listFromBeforeTheResumptionDoesNotDecide() {
    add("a", "v1");
    runWithLists(70_000);
    loop.runUntil(70_900);
    List<Optional<StreamOrigin>> found = new ArrayList<>();
    origins.find(resumed("unknown"), "s", found::add);
    loop.runUntil(70_950);
    assertEquals(List.of(), found);
    add("b", "v2");
    receiveList(70_940);
    loop.runUntil(72_000);
    assertEquals(List.of(Optional.empty()), found);
  }

  /** Guards against refusing streams that began at the only version of the last minute. */
  @Test
  void listRequestedAfterTheResumptionDecides() {
    add("a", "v1");
    runWithLists(70_000);
    loop.runUntil(70_900);
    List<Optional<StreamOrigin>> found = new ArrayList<>();
    origins.find(resumed("unknown"), "s", found::add);
    receiveList(70_890);
    loop.runUntil(70_950);
    assertEquals(List.of(), found);
    receiveList(70_910);
    loop.runUntil(71_000);
    assertEquals(List.of(Optional.of(new StreamOrigin(Optional.empty(), version("v1")))), found);
  }

  /** Guards against a table of versions that was written before a new version began. */
  @Test
  void tableOfVersionsDoesNotDecideWithoutNewList() {
    add("a", "v1");
    loop.runUntil(5_000);
    assertEquals("[\"v1\"]", stored());
    List<Optional<StreamOrigin>> found = new ArrayList<>();
    origins.find(resumed("unknown"), "s", found::add);
    loop.runUntil(8_000);
    assertEquals(List.of(Optional.empty()), found);
  }

  /** Guards against a caller that waits for a list while the store is away. */
  @Test
  void resumptionIsRefusedSoonIfNoListArrives() {
    add("a", "v1");
    runWithLists(70_000);
    table.down(true);
    List<Optional<StreamOrigin>> found = new ArrayList<>();
    origins.find(resumed("unknown"), "s", found::add);
    loop.runUntil(70_600);
    assertEquals(List.of(Optional.empty()), found);
  }

  /** Guards against a read of the list for each of the streams that are taken up at once. */
  @Test
  void resumptionsShareReadsOfTheList() {
    add("a", "v1");
    List<Long> refreshes = new ArrayList<>();
    origins.setListRefresh(() -> refreshes.add(loop.clock().millis()));
    loop.runUntil(1_000);
    for (int i = 0; i < 50; i++) {
      origins.find(resumed("unknown"), "s", unused -> {});
      loop.runUntil(1_000 + 10 * i);
    }
    loop.runUntil(2_000);
    assertTrue(refreshes.size() <= 11, refreshes.size() + " reads in a second");
  }

  /** Guards against refusing a stream when the entry and the agents that knew it have ended. */
  @Test
  void streamOfEndedEntryIsFoundInTable() {
    add("a", "v1");
    add("b", "v2");
    origins.begun("first", "s", new StreamOrigin(Optional.empty(), version("v1")));
    loop.runUntil(2_000);
    List<Optional<StreamOrigin>> found = new ArrayList<>();
    SoftwareHistory ofOther = new SoftwareHistory();
    endpoints.forEach(endpoint -> ofOther.changed(endpoint, 2_000));
    entry("e2", ofOther).find(resumed("first"), "s", found::add);
    loop.runUntil(3_000);
    assertEquals(List.of(Optional.of(new StreamOrigin(Optional.empty(), version("v1")))), found);
  }

  /** Guards against a stream that began before the second version and is written by nobody. */
  @Test
  void streamThatBeganBeforeTheSecondVersionIsWritten() {
    add("a", "v1");
    origins.begun("first", "s", new StreamOrigin(Optional.empty(), version("v1")));
    loop.runUntil(2_000);
    assertEquals(List.of(), streamRows());
    add("b", "v2");
    loop.runUntil(4_000);
    assertEquals(1, streamRows().size());
  }

  /** Guards against rows that are lost with a restore of the table and that nobody writes again. */
  @Test
  void rowsAreWrittenAgainAfterRestore() {
    add("a", "v1");
    add("b", "v2");
    origins.begun("first", "s", new StreamOrigin(Optional.empty(), version("v1")));
    loop.runUntil(4_000);
    List<Transaction.Write> deletions = new ArrayList<>();
    deletions.add(new Transaction.Write.Delete(ROW));
    streamRows().forEach(row -> deletions.add(new Transaction.Write.Delete(row.key())));
    table.commit(new Transaction(List.of(), deletions)).join();
    origins.tablesRestored();
    loop.runUntil(8_000);
    assertEquals("[\"v1\",\"v2\"]", stored());
    assertEquals(1, streamRows().size());
  }

  /** Guards against rows of ended entries that stay for ever. */
  @Test
  void rowsOfEndedEntriesAreDeleted() {
    add("a", "v1");
    add("b", "v2");
    origins.begun("first", "s", new StreamOrigin(Optional.empty(), version("v1")));
    loop.runUntil(2_000);
    assertEquals(1, streamRows().size());
    entry("e2", new SoftwareHistory()).start();
    loop.runUntil(2 * SoftwareHistory.RETENTION_MILLIS);
    assertEquals(List.of(), streamRows());
  }

  /** Guards against one write for each stream. */
  @Test
  void writesDoNotDependOnTheNumberOfStreams() {
    add("a", "v1");
    add("b", "v2");
    loop.runUntil(2_000);
    int before = table.commits();
    for (int i = 0; i < 1_000; i++) {
      origins.begun("stream-" + i, "s", new StreamOrigin(Optional.empty(), version("v1")));
      loop.runUntil(2_000 + 10 * i);
    }
    int writes = table.commits() - before;
    assertTrue(writes <= 21, writes + " writes in 10 s");
  }

  private List<Row> streamRows() {
    return table.scan("streams", "", "", 10).join();
  }

  private static Optional<SoftwareVersion> version(String version) {
    return Optional.of(new SoftwareVersion(version));
  }

  /** Receives the list that was requested at a time. */
  private void receiveList(long askedMillis) {
    history.listReceived(askedMillis);
    origins.listReceived(askedMillis);
  }

  /** Runs the loop while the list is received every second. */
  private void runWithLists(long untilMillis) {
    for (long now = loop.clock().millis(); now < untilMillis; now = loop.clock().millis()) {
      receiveList(now);
      loop.runUntil(Math.min(now + 1_000, untilMillis));
    }
  }

  private static Transaction put(String versions) {
    byte[] value = versions.getBytes(StandardCharsets.UTF_8);
    return new Transaction(List.of(), List.of(new Transaction.Write.Put(ROW, value)));
  }

  private static RequestMetadata resumed(String first) {
    return new RequestMetadata(
        "again",
        OptionalLong.empty(),
        Optional.empty(),
        0,
        0,
        false,
        List.of(),
        OptionalLong.of(1),
        Optional.of(first),
        List.of(),
        false);
  }

  private void add(String id, String software) {
    Endpoint endpoint =
        new Endpoint(
            new EndpointIncarnation(new EndpointId(id), 0),
            "s",
            URI.create("http://127.0.0.1:1"),
            "z",
            1,
            false,
            0,
            Set.of(),
            Optional.of(new SoftwareVersion(software)));
    endpoints.add(endpoint);
    history.changed(endpoint, loop.clock().millis());
    origins.endpointsChanged("s");
  }

  private String stored() {
    return new String(table.read(ROW).join().orElseThrow().value(), StandardCharsets.UTF_8);
  }
}
