package org.hornbeamusher.watch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.clock.ManualClock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.loop.EventLoop;
import org.junit.jupiter.api.Test;

class TableWatchTest {

  private final List<String> asked = new ArrayList<>();
  private final Queue<CompletableFuture<Optional<Changes>>> answers = new ArrayDeque<>();
  private final Queue<Runnable> tasks = new ArrayDeque<>();
  private final List<Long> heard = new ArrayList<>();
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
    answers.add(CompletableFuture.completedFuture(Optional.empty()));
    answer(9, true);
    watch(1_000);
    assertEquals(List.of("all", "since 5", "all", "since 9"), asked);
  }

  /** The service is away; the watch asks again and goes on from where it was. */
  @Test
  void failureIsAskedAgainFromTheSameRevision() {
    answer(5, true);
    answers.add(
        CompletableFuture.failedFuture(
            HornbeamusherException.notRun(FailureType.PLATFORM_UNAVAILABLE, "test")));
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

  private void answer(long revision, boolean complete) {
    answers.add(
        CompletableFuture.completedFuture(Optional.of(new Changes(List.of(), revision, complete))));
  }

  private void watch(long waitMillis) {
    TableWatch watch =
        new TableWatch(
            new ScriptedFeed(),
            "t",
            new WatchSettings(waitMillis, 10, 20, 1_000),
            loop,
            new ManualClock(0),
            (changes, asked) -> heard.add(changes.revision()));
    watch.start();
    while (!tasks.isEmpty()) {
      tasks.poll().run();
    }
  }

  private final class ScriptedFeed implements ChangeFeed {

    @Override
    public CompletableFuture<Page> page(String table, String after, int failures) {
      asked.add("all");
      return next()
          .thenApply(Optional::orElseThrow)
          .thenApply(all -> new Page(all.rows(), all.revision(), false, all.transfer()));
    }

    @Override
    public CompletableFuture<Optional<Changes>> since(
        String table, long revision, long waitMillis, int failures) {
      asked.add("since " + revision);
      return next();
    }

    /** Beyond the script nothing is answered any more. */
    private CompletableFuture<Optional<Changes>> next() {
      return answers.isEmpty() ? new CompletableFuture<>() : answers.poll();
    }
  }

  private final class QueueLoop implements EventLoop {

    @Override
    public void execute(Runnable task) {
      tasks.add(task);
    }

    @Override
    public Timer after(long delayMillis, Runnable task) {
      tasks.add(task);
      return () -> tasks.remove(task);
    }
  }
}
