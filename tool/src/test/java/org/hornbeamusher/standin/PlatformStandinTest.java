package org.hornbeamusher.standin;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.Stream;
import org.hornbeamusher.clock.ManualClock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.ids.AvailabilityZone;
import org.hornbeamusher.ids.PoolName;
import org.hornbeamusher.table.CommitResult;
import org.hornbeamusher.table.HttpInstanceList;
import org.hornbeamusher.table.HttpTable;
import org.hornbeamusher.table.Instance;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.RowKey;
import org.hornbeamusher.table.Transaction;
import org.hornbeamusher.table.Transaction.Condition;
import org.hornbeamusher.table.Transaction.Write;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the stand-in together with the platform's clients over loopback. */
class PlatformStandinTest {

  private static final long TIMEOUT_MILLIS = 20_000;
  private static final long SHORT_MILLIS = 200;
  private static final RowKey KEY = new RowKey("claims", "haul-api/π /&=+%2F?#");
  private static final Instance AGENT = instance("lm-dispatch-1", false);

  private final ManualClock clock = new ManualClock(1_000_000);
  private final PlatformStandin platform =
      new PlatformStandin(
          new PlatformStandinSettings("127.0.0.1", 0, 50, 100, 3_000, List.of(AGENT)), clock);
  private final HttpClient client = new HttpClient(1);
  private HttpTable table;

  @BeforeEach
  void start() {
    platform.start();
    client.start();
    table = new HttpTable(client, platform.uri(), TIMEOUT_MILLIS);
  }

  @AfterEach
  void stop() {
    client.stop();
    platform.stop();
  }

  @Test
  void rowsAreWrittenReadAndDeleted() {
    assertEquals(Optional.empty(), table.read(KEY).join());
    put(KEY, "first");
    put(KEY, "second");
    Row row = table.read(KEY).join().orElseThrow();
    assertEquals(2, row.revision());
    assertArrayEquals("second".getBytes(StandardCharsets.UTF_8), row.value());
    table.commit(new Transaction(List.of(), List.of(new Write.Delete(KEY)))).join();
    assertEquals(Optional.empty(), table.read(KEY).join());
    put(KEY, "third");
    assertEquals(3, table.read(KEY).join().orElseThrow().revision());
  }

  @Test
  void scansContinueAfterTheLastKey() {
    for (String key : List.of("a", "d/1", "d/2", "d/3", "e")) {
      put(new RowKey("documents", key), key);
    }
    assertEquals(List.of("d/1", "d/2"), keys(table.scan("documents", "d/", "", 2)));
    assertEquals(List.of("d/3"), keys(table.scan("documents", "d/", "d/2", 2)));
    assertEquals(List.of("a", "d/1", "d/2", "d/3", "e"), keys(table.scan("documents", "", "", 9)));
    assertEquals(List.of(), keys(table.scan("nothing", "", "", 9)));
  }

  @Test
  void oneFailedConditionWritesNothing() {
    put(KEY, "first");
    RowKey other = new RowKey("claims", "other");
    Transaction transaction =
        new Transaction(
            List.of(new Condition.Absent(other), new Condition.AtRevision(KEY, 7)),
            List.of(new Write.Put(other, new byte[] {1}), new Write.Delete(KEY)));
    CommitResult.Conflict conflict =
        assertInstanceOf(CommitResult.Conflict.class, table.commit(transaction).join());
    assertEquals(KEY, conflict.key());
    assertEquals(1, conflict.current().orElseThrow().revision());
    assertEquals(Optional.empty(), table.read(other).join());
  }

  /** Concurrent inserts of one row: exactly one may be reported as committed. */
  @Test
  void onlyOneOfManyConditionalInsertsIsCommitted() {
    Transaction insert =
        new Transaction(
            List.of(new Condition.Absent(KEY)), List.of(new Write.Put(KEY, new byte[] {1})));
    List<CompletableFuture<CommitResult>> racing =
        Stream.generate(() -> table.commit(insert)).limit(20).toList();
    long committed =
        racing.stream().filter(result -> result.join() instanceof CommitResult.Committed).count();
    assertEquals(1, committed);
  }

  /** The response to a write is lost: the outcome must be unknown, although the row was written. */
  @Test
  void lostResponseIsUnknownAndWriteTookEffect() {
    platform.setFaults(PlatformFaults.losingResponses(1));
    assertFailure(FailureType.PLATFORM_ANSWER_LOST, Outcome.UNKNOWN, () -> put(KEY, "first"));
    assertEquals(1, table.read(KEY).join().orElseThrow().revision());
  }

  /** The platform hangs: a write without a response within the timeout may have taken effect. */
  @Test
  void missingResponseIsUnknownForWritesAndUnavailableForReads() {
    table = new HttpTable(client, platform.uri(), SHORT_MILLIS);
    platform.setFaults(PlatformFaults.SILENT);
    assertFailure(FailureType.PLATFORM_ANSWER_LOST, Outcome.UNKNOWN, () -> put(KEY, "first"));
    assertFailure(FailureType.PLATFORM_UNAVAILABLE, Outcome.NOT_RUN, () -> table.read(KEY).join());
  }

  /**
   * The platform refuses calls, or the connection is refused: nothing was written, and the outcome
   * says so.
   */
  @Test
  void refusedCallsAreNotWritten() {
    platform.setFaults(PlatformFaults.REFUSING);
    assertFailure(FailureType.PLATFORM_UNAVAILABLE, Outcome.NOT_RUN, () -> put(KEY, "first"));
    platform.setFaults(PlatformFaults.NONE);
    assertEquals(Optional.empty(), table.read(KEY).join());
    platform.stop();
    table = new HttpTable(client, URI.create("http://127.0.0.1:1"), TIMEOUT_MILLIS);
    assertFailure(FailureType.PLATFORM_UNAVAILABLE, Outcome.NOT_RUN, () -> put(KEY, "first"));
  }

  /** Calls beyond the rate limit are refused; one second later calls are accepted again. */
  @Test
  void callsBeyondTheRateAreThrottled() {
    for (int i = 0; i < 50; i++) {
      put(KEY, "value");
    }
    assertFailure(FailureType.PLATFORM_THROTTLED, Outcome.NOT_RUN, () -> put(KEY, "late"));
    assertEquals(50, table.read(KEY).join().orElseThrow().revision());
    clock.advance(1_000);
    put(KEY, "again");
    assertEquals(new PlatformStandin.Counts(1, 52, 1), platform.counts());
  }

  /** A change of an instance shows in the list only after the lag. */
  @Test
  void theInstanceListLags() {
    HttpInstanceList list = new HttpInstanceList(client, platform.uri(), TIMEOUT_MILLIS);
    assertEquals(List.of(AGENT), list.instances().join());
    platform.put(instance("lm-dispatch-1", true));
    clock.advance(1_000);
    platform.put(instance("lm-dispatch-2", false));
    clock.advance(1_999);
    assertEquals(List.of(AGENT), list.instances().join());
    clock.advance(1);
    assertEquals(List.of(instance("lm-dispatch-1", true)), list.instances().join());
    clock.advance(1_000);
    assertEquals(
        List.of(instance("lm-dispatch-1", true), instance("lm-dispatch-2", false)),
        list.instances().join());
  }

  private void put(RowKey key, String value) {
    Write write = new Write.Put(key, value.getBytes(StandardCharsets.UTF_8));
    table.commit(new Transaction(List.of(), List.of(write))).join();
  }

  private static List<String> keys(CompletableFuture<List<Row>> rows) {
    return rows.join().stream().map(row -> row.key().key()).toList();
  }

  private static Instance instance(String id, boolean leaving) {
    return new Instance(
        id,
        "127.0.0.1",
        7_000,
        Instance.Role.AGENT,
        new AvailabilityZone("marka"),
        new PoolName("lm-dispatch"),
        leaving);
  }

  private static void assertFailure(FailureType type, Outcome outcome, Runnable call) {
    CompletionException thrown = assertThrows(CompletionException.class, call::run);
    HornbeamusherException failure = HornbeamusherException.from(thrown);
    assertEquals(type, failure.type());
    assertEquals(outcome, failure.outcome());
  }
}
