package org.hornbeamusher.bench.faults;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.table.CommitResult;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.RowKey;
import org.hornbeamusher.table.Table;
import org.hornbeamusher.table.Transaction;

/** The table as one process meets it: slow, down, or with answers that are lost. */
final class FaultyTable implements Table {

  private static final double SLOW = 0.05;
  private static final double ANSWER_LOST = 0.05;
  private static final double WRITE_LATE = 0.03;

  private final TableRows rows;
  private final Timeline timeline;
  private final Chaos chaos;
  private final Process process;

  FaultyTable(TableRows rows, Timeline timeline, Chaos chaos, Process process) {
    this.rows = rows;
    this.timeline = timeline;
    this.chaos = chaos;
    this.process = process;
  }

  /** Makes the table go down and come back, again and again. */
  static void drawOutages(TableRows rows, Timeline timeline, Chaos chaos) {
    timeline.every(
        500,
        () -> {
          if (!rows.down() && chaos.strikes(Fault.TABLE_DOWN, 0.02)) {
            rows.down(true);
            timeline.after(chaos.between(500, 15_000), () -> rows.down(false));
          }
        });
  }

  @Override
  public CompletableFuture<Optional<Row>> read(RowKey key) {
    return call(() -> rows.read(key));
  }

  @Override
  public CompletableFuture<List<Row>> scan(String table, String prefix, String after, int limit) {
    return call(() -> rows.scan(table, prefix, after, limit));
  }

  @Override
  public CompletableFuture<CommitResult> commit(Transaction transaction) {
    if (chaos.strikes(Fault.TABLE_WRITE_LATE, WRITE_LATE)) {
      timeline.after(chaos.between(500, 6_000), () -> rows.apply(transaction));
      return lost();
    }
    if (chaos.strikes(Fault.TABLE_ANSWER_LOST, ANSWER_LOST)) {
      timeline.after(chaos.between(1, 20), () -> rows.apply(transaction));
      return lost();
    }
    return call(() -> rows.apply(transaction));
  }

  private <T> CompletableFuture<T> call(Supplier<T> effect) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    long there = delay();
    timeline.after(there, () -> arrive(effect, answer));
    return answer;
  }

  private <T> void arrive(Supplier<T> effect, CompletableFuture<T> answer) {
    if (rows.down()) {
      timeline.after(1, () -> process.run(() -> answer.completeExceptionally(unavailable())));
      return;
    }
    T result = effect.get();
    timeline.after(delay(), () -> process.run(() -> answer.complete(result)));
  }

  private <T> CompletableFuture<T> lost() {
    CompletableFuture<T> answer = new CompletableFuture<>();
    HornbeamusherException failure =
        HornbeamusherException.of(FailureType.PLATFORM_ANSWER_LOST, Outcome.UNKNOWN, "drawn");
    long delay = chaos.between(30, 300);
    timeline.after(delay, () -> process.run(() -> answer.completeExceptionally(failure)));
    return answer;
  }

  private long delay() {
    return chaos.strikes(Fault.TABLE_SLOW, SLOW) ? chaos.between(200, 4_000) : chaos.between(1, 8);
  }

  private static HornbeamusherException unavailable() {
    return HornbeamusherException.notRun(FailureType.PLATFORM_UNAVAILABLE, "drawn");
  }
}
