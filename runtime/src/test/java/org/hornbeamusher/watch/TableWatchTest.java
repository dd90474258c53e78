package org.hornbeamusher.watch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hornbeamusher.clock.ManualClock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.loop.EventLoop;
import org.hornbeamusher.transfer.IncompleteTransferException;
import org.hornbeamusher.transfer.TransferStats;
import org.junit.jupiter.api.Test;

class TableWatchTest {

  private final List<String> requests = new ArrayList<>();
  private final Queue<Supplier<CompletableFuture<Optional<Response>>>> responses =
      new ArrayDeque<>();
  private final Queue<Runnable> tasks = new ArrayDeque<>();
  private final List<Long> revisions = new ArrayList<>();
  private final List<String> rows = new ArrayList<>();
  private final List<Long> requestTimes = new ArrayList<>();
  private final List<Long> pauses = new ArrayList<>();
  private final List<Long> holds = new ArrayList<>();
  private final List<Long> retries = new ArrayList<>();
  private final ManualClock clock = new ManualClock(0);
  private final EventLoop loop = new QueueLoop();

  @Test
  void tableIsReadOnceAndThenFollowed() {
    respond(5, true);
    respond(7, false);
    watch(1_000);
    assertEquals(List.of("all", "since 5", "since 7"), requests);
    assertEquals(List.of(5L, 7L), revisions);
  }

  /** If the history no longer contains the last revision, the missed changes are in the table. */
  @Test
  void tableIsReadAgainWhenHistoryIsTooShort() {
    respond(5, true);
    responses.add(() -> CompletableFuture.completedFuture(Optional.empty()));
    respond(9, true);
    watch(1_000);
    assertEquals(List.of("all", "since 5", "all", "since 9"), requests);
  }

  /** After an outage of the service the watch must continue at the last revision. */
  @Test
  void failedRequestIsRetriedFromTheSameRevision() {
    respond(5, true);
    fail(0);
    respond(6, false);
    watch(1_000);
    assertEquals(List.of("all", "since 5", "since 5", "since 6"), requests);
    assertEquals(List.of(5L, 6L), revisions);
  }

  @Test
  void completeTableIsReadEachTimeIfWaitTimeIsZero() {
    respond(5, true);
    respond(6, true);
    watch(0);
    assertEquals(List.of("all", "all", "all"), requests);
  }

  /** Guards against a table of many pages that is read from the start after each failure. */
  @Test
  void failedPageIsReadAgainWithoutThoseBeforeIt() {
    page("a", 5, true);
    fail(0);
    page("b", 6, false);
    watch(1_000);
    assertEquals(List.of("all", "all after a", "all after a", "since 5"), requests);
    assertEquals(List.of("a", "b"), rows);
    assertEquals(List.of(5L), revisions);
  }

  /** Guards against combining pages from before and after an outage. */
  @Test
  void pagesFromBeforeAnOutageAreReadAgain() {
    page("a", 5, true);
    fail(600);
    page("a", 7, false);
    watch(1_000);
    assertEquals(List.of("all", "all after a", "all", "since 7"), requests);
    assertEquals(List.of(600L), requestTimes);
  }

  /** Guards against retries of an interrupted transfer that saturate the link that they need. */
  @Test
  void pauseGrowsWithEachResponseThatIsCutOff() {
    respond(5, true);
    for (int i = 0; i < 6; i++) {
      cutOff();
    }
    respond(6, false);
    watch(1_000);
    assertEquals(List.of(20L, 40L, 80L, 160L, 160L, 160L), pauses);
  }

  /** Guards against detecting the end of an outage late because the pause between retries grows. */
  @Test
  void failedRequestsWithoutResponseAreRetriedAtConstantInterval() {
    respond(5, true);
    for (int i = 0; i < 4; i++) {
      fail(0);
    }
    respond(6, false);
    watch(1_000);
    assertEquals(List.of(20L, 20L, 20L, 20L), pauses);
  }

  /** Guards against a full pause after a request that already took a long time to fail. */
  @Test
  void timeOfFailedRequestCountsTowardsThePause() {
    respond(5, true);
    fail(15);
    fail(0);
    fail(600);
    respond(6, false);
    watch(1_000);
    assertEquals(List.of(5L, 20L, 0L), retries);
  }

  /**
   * Guards against a proof of freshness that expires because a full hold follows a slow response.
   */
  @Test
  void slowResponseIsFollowedByShorterHold() {
    respond(5, true);
    slow(1_000, 6);
    slow(1_300, 7);
    slow(5_000, 8);
    watch(1_000);
    assertEquals(List.of(1_000L, 1_000L, 700L, 0L), holds);
  }

  private void slow(long millis, long revision) {
    responses.add(
        () -> {
          clock.advance(millis);
          return CompletableFuture.completedFuture(page(List.of(), revision, false));
        });
  }

  private void page(String key, long revision, boolean more) {
    ChangedRow row = new ChangedRow(key, new RowContent.Present(new byte[0], revision));
    responses.add(() -> CompletableFuture.completedFuture(page(List.of(row), revision, more)));
  }

  private static Optional<Response> page(List<ChangedRow> rows, long revision, boolean more) {
    return Optional.of(new Response(rows, revision, more));
  }

  private void fail(long afterMillis) {
    responses.add(
        () -> {
          clock.advance(afterMillis);
          return CompletableFuture.failedFuture(
              HornbeamusherException.notRun(FailureType.PLATFORM_UNAVAILABLE, "test"));
        });
  }

  private void cutOff() {
    responses.add(
        () ->
            CompletableFuture.failedFuture(
                HornbeamusherException.notRun(FailureType.PLATFORM_UNAVAILABLE, "test")
                    .causedBy(
                        new IncompleteTransferException(
                            "timed out", new TransferStats(450, 300_000), null))));
  }

  private void respond(long revision, boolean complete) {
    responses.add(() -> CompletableFuture.completedFuture(page(List.of(), revision, false)));
  }

  /** A scripted response: a page of rows, or changes. */
  private record Response(List<ChangedRow> rows, long revision, boolean more) {}

  private void watch(long waitMillis) {
    TableWatch watch =
        new TableWatch(
            new ScriptedFeed(),
            "t",
            new WatchSettings(waitMillis, 10, 20, 1_000),
            loop,
            clock,
            (changes, requestedMillis) -> {
              revisions.add(changes.revision());
              requestTimes.add(requestedMillis);
              changes.rows().forEach(row -> rows.add(row.key()));
            });
    watch.start();
    while (!tasks.isEmpty()) {
      tasks.poll().run();
    }
  }

  private final class ScriptedFeed implements ChangeFeed {

    @Override
    public CompletableFuture<TablePage> page(String table, String after, int failures) {
      requests.add(after.isEmpty() ? "all" : "all after " + after);
      return next()
          .thenApply(Optional::orElseThrow)
          .thenApply(
              one -> new TablePage(one.rows(), one.revision(), one.more(), TransferStats.NONE));
    }

    @Override
    public CompletableFuture<Optional<TableChanges>> since(
        String table, long revision, long waitMillis, int failures) {
      requests.add("since " + revision);
      holds.add(waitMillis);
      return next()
          .thenApply(
              found -> found.map(one -> new TableChanges(one.rows(), one.revision(), false)));
    }

    /** Returns the next scripted response; after the last one, requests stay pending. */
    private CompletableFuture<Optional<Response>> next() {
      return responses.isEmpty() ? new CompletableFuture<>() : responses.poll().get();
    }
  }

  private final class QueueLoop implements EventLoop {

    @Override
    public void execute(Runnable task) {
      tasks.add(task);
    }

    @Override
    public Timer after(long delayMillis, Runnable task) {
      if (delayMillis >= 20 && delayMillis < 1_000) {
        pauses.add(delayMillis);
      }
      if (delayMillis <= 20 && delayMillis != 10) {
        retries.add(delayMillis);
      }
      tasks.add(task);
      return () -> tasks.remove(task);
    }
  }
}
