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

/** The table as seen by one process, with delays, outages and lost responses. */
final class FaultyTable implements Table {

  private static final double SLOW_PROBABILITY = 0.05;
  private static final double RESPONSE_LOST_PROBABILITY = 0.05;
  private static final double WRITE_LATE_PROBABILITY = 0.03;

  private final TableRows rows;
  private final Timeline timeline;
  private final FaultInjector injector;
  private final SimulatedProcess process;

  FaultyTable(TableRows rows, Timeline timeline, FaultInjector injector, SimulatedProcess process) {
    this.rows = rows;
    this.timeline = timeline;
    this.injector = injector;
    this.process = process;
  }

  /** Schedules random outages of the table. */
  static void drawOutages(TableRows rows, Timeline timeline, FaultInjector injector) {
    timeline.every(
        500,
        () -> {
          if (!rows.isDown() && injector.occurs(Fault.TABLE_DOWN, 0.02)) {
            rows.setDown(true);
            timeline.after(injector.between(500, 15_000), () -> rows.setDown(false));
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
    if (injector.occurs(Fault.TABLE_WRITE_LATE, WRITE_LATE_PROBABILITY)) {
      timeline.after(injector.between(500, 6_000), () -> rows.apply(transaction));
      return lost();
    }
    if (injector.occurs(Fault.TABLE_ANSWER_LOST, RESPONSE_LOST_PROBABILITY)) {
      timeline.after(injector.between(1, 20), () -> rows.apply(transaction));
      return lost();
    }
    return call(() -> rows.apply(transaction));
  }

  private <T> CompletableFuture<T> call(Supplier<T> effect) {
    CompletableFuture<T> response = new CompletableFuture<>();
    long there = delay();
    timeline.after(there, () -> arrive(effect, response));
    return response;
  }

  private <T> void arrive(Supplier<T> effect, CompletableFuture<T> response) {
    if (rows.isDown()) {
      timeline.after(1, () -> process.run(() -> response.completeExceptionally(unavailable())));
      return;
    }
    T result = effect.get();
    timeline.after(delay(), () -> process.run(() -> response.complete(result)));
  }

  private <T> CompletableFuture<T> lost() {
    CompletableFuture<T> response = new CompletableFuture<>();
    HornbeamusherException failure =
        HornbeamusherException.of(FailureType.PLATFORM_ANSWER_LOST, Outcome.UNKNOWN, "drawn");
    long delay = injector.between(30, 300);
    timeline.after(delay, () -> process.run(() -> response.completeExceptionally(failure)));
    return response;
  }

  private long delay() {
    return injector.occurs(Fault.TABLE_SLOW, SLOW_PROBABILITY)
        ? injector.between(200, 4_000)
        : injector.between(1, 8);
  }

  private static HornbeamusherException unavailable() {
    return HornbeamusherException.notRun(FailureType.PLATFORM_UNAVAILABLE, "drawn");
  }
}
