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
import org.hornbeamusher.transfer.Transfer;
import org.junit.jupiter.api.Test;

class TableWatchTest {

  private final List<String> asked = new ArrayList<>();
  private final Queue<Supplier<CompletableFuture<Optional<Answer>>>> answers = new ArrayDeque<>();
  private final Queue<Runnable> tasks = new ArrayDeque<>();
  private final List<Long> heard = new ArrayList<>();
  private final List<String> rows = new ArrayList<>();
  private final List<Long> asks = new ArrayList<>();
  private final List<Long> pauses = new ArrayList<>();
  private final List<Long> holds = new ArrayList<>();
  private final List<Long> retries = new ArrayList<>();
  private final ManualClock clock = new ManualClock(0);
  private final EventLoop loop = new QueueLoop();

  @Test
  void tableIsReadOnceAndThenFollowed() {
    answer(5, true);
    answer(7, false);
    watch(1_000);
    assertEquals(List.of("all", "since 5", "since 7"), asked);
    assertEquals(List.of(5L, 7L), heard);
  }

  /** The history does not reach back to what is known; what was missed is in the whole table. */
  @Test
  void lostHistoryMeansReadingTheTableAgain() {
    answer(5, true);
    answers.add(() -> CompletableFuture.completedFuture(Optional.empty()));
    answer(9, true);
    watch(1_000);
    assertEquals(List.of("all", "since 5", "all", "since 9"), asked);
  }

  /** The service is away; the watch asks again and goes on from where it was. */
  @Test
  void failureIsAskedAgainFromTheSameRevision() {
    answer(5, true);
    fail(0);
    answer(6, false);
    watch(1_000);
    assertEquals(List.of("all", "since 5", "since 5", "since 6"), asked);
    assertEquals(List.of(5L, 6L), heard);
  }

  @Test
  void withoutWaitingTheWholeTableIsReadEachTime() {
    answer(5, true);
    answer(6, true);
    watch(0);
    assertEquals(List.of("all", "all", "all"), asked);
  }

  /** Guards against a table of many pages that is read from the start after each failure. */
  @Test
  void pageThatFailsIsReadAgainWithoutThoseBeforeIt() {
    page("a", 5, true);
    fail(0);
    page("b", 6, false);
    watch(1_000);
    assertEquals(List.of("all", "all after a", "all after a", "since 5"), asked);
    assertEquals(List.of("a", "b"), rows);
    assertEquals(List.of(5L), heard);
  }

  /** Guards against a table that is put together from before and after an outage. */
  @Test
  void pagesFromBeforeAnOutageAreReadAgain() {
    page("a", 5, true);
    fail(600);
    page("a", 7, false);
    watch(1_000);
    assertEquals(List.of("all", "all after a", "all", "since 7"), asked);
    assertEquals(List.of(600L), asks);
  }

  /** Guards against repeats of a cut transfer that fill the link that they need. */
  @Test
  void answersThatAreCutAreAskedForLaterEachTime() {
    answer(5, true);
    for (int i = 0; i < 6; i++) {
      cut();
    }
    answer(6, false);
    watch(1_000);
    assertEquals(List.of(20L, 40L, 80L, 160L, 160L, 160L), pauses);
  }

  /** Guards against a store that returns and is found late because it did not answer before. */
  @Test
  void questionsThatNobodyAnswersAreRepeatedAtOnePace() {
    answer(5, true);
    for (int i = 0; i < 4; i++) {
      fail(0);
    }
    answer(6, false);
    watch(1_000);
    assertEquals(List.of(20L, 20L, 20L, 20L), pauses);
  }

  /** Guards against a pause on top of the time in which a question was not answered. */
  @Test
  void questionThatTookItsTimeIsRepeatedAtOnce() {
    answer(5, true);
    fail(15);
    fail(0);
    fail(600);
    answer(6, false);
    watch(1_000);
    assertEquals(List.of(5L, 20L, 0L), retries);
  }

  /** Guards against proof that expires because a long transfer is followed by a whole hold. */
  @Test
  void answerThatTookLongIsFollowedByShorterHold() {
    answer(5, true);
    slow(1_000, 6);
    slow(1_300, 7);
    slow(5_000, 8);
    watch(1_000);
    assertEquals(List.of(1_000L, 1_000L, 700L, 0L), holds);
  }

  private void slow(long millis, long revision) {
    answers.add(
        () -> {
          clock.advance(millis);
          return CompletableFuture.completedFuture(page(List.of(), revision, false));
        });
  }

  private void page(String key, long revision, boolean more) {
    ChangedRow row = new ChangedRow(key, new RowContent.Present(new byte[0], revision));
    answers.add(() -> CompletableFuture.completedFuture(page(List.of(row), revision, more)));
  }

  private static Optional<Answer> page(List<ChangedRow> rows, long revision, boolean more) {
    return Optional.of(new Answer(rows, revision, more));
  }

  private void fail(long afterMillis) {
    answers.add(
        () -> {
          clock.advance(afterMillis);
          return CompletableFuture.failedFuture(
              HornbeamusherException.notRun(FailureType.PLATFORM_UNAVAILABLE, "test"));
        });
  }

  private void cut() {
    answers.add(
        () ->
            CompletableFuture.failedFuture(
                HornbeamusherException.notRun(FailureType.PLATFORM_UNAVAILABLE, "test")
                    .causedBy(
                        new IncompleteTransferException(
                            "timed out", new Transfer(450, 300_000), null))));
  }

  private void answer(long revision, boolean complete) {
    answers.add(() -> CompletableFuture.completedFuture(page(List.of(), revision, false)));
  }

  /** What the service answers: a page of rows, or changes. */
  private record Answer(List<ChangedRow> rows, long revision, boolean more) {}

  private void watch(long waitMillis) {
    TableWatch watch =
        new TableWatch(
            new ScriptedFeed(),
            "t",
            new WatchSettings(waitMillis, 10, 20, 1_000),
            loop,
            clock,
            (changes, askedMillis) -> {
              heard.add(changes.revision());
              asks.add(askedMillis);
              changes.rows().forEach(row -> rows.add(row.key()));
            });
    watch.start();
    while (!tasks.isEmpty()) {
      tasks.poll().run();
    }
  }

  private final class ScriptedFeed implements ChangeFeed {

    @Override
    public CompletableFuture<Page> page(String table, String after, int failures) {
      asked.add(after.isEmpty() ? "all" : "all after " + after);
      return next()
          .thenApply(Optional::orElseThrow)
          .thenApply(one -> new Page(one.rows(), one.revision(), one.more(), Transfer.NONE));
    }

    @Override
    public CompletableFuture<Optional<Changes>> since(
        String table, long revision, long waitMillis, int failures) {
      asked.add("since " + revision);
      holds.add(waitMillis);
      return next()
          .thenApply(found -> found.map(one -> new Changes(one.rows(), one.revision(), false)));
    }

    /** Beyond the script nothing is answered any more. */
    private CompletableFuture<Optional<Answer>> next() {
      return answers.isEmpty() ? new CompletableFuture<>() : answers.poll().get();
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
