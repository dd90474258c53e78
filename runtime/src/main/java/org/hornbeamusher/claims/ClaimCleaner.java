package org.hornbeamusher.claims;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.ids.IdempotencyKey;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.Table;
import org.hornbeamusher.table.Transaction;

/**
 * Removes claim rows whose keys are refused everywhere, a bounded number a second.
 *
 * <p>Rows are scanned oldest first. Removing one needs no condition: its key is older than the
 * retention by more than clocks may differ, so no entry can claim it any more. The interval grows
 * with the number of entries, so that all of them together remove at most {@link #ROWS_PER_SECOND}.
 */
public final class ClaimCleaner {

  /** Rows that all entries together remove; more than are claimed ({@code docs/CLAIMS.md}). */
  public static final int ROWS_PER_SECOND = 50;

  /** Rows in one transaction. */
  static final int BATCH = 100;

  private final Table table;
  private final ClaimSettings settings;
  private final Clock clock;
  private final IntSupplier entries;
  private final RandomGenerator random;
  private ScheduledExecutorService executor;

  /**
   * Creates a stopped service.
   *
   * @param table the platform's table
   * @param settings how long claims matter
   * @param clock the time
   * @param entries how many entries clean, as far as this one knows
   * @param random draws the jitter
   */
  public ClaimCleaner(
      Table table,
      ClaimSettings settings,
      Clock clock,
      IntSupplier entries,
      RandomGenerator random) {
    this.table = table;
    this.settings = settings;
    this.clock = clock;
    this.entries = entries;
    this.random = random;
  }

  /** Starts cleaning. */
  public synchronized void start() {
    if (executor == null) {
      executor =
          Executors.newSingleThreadScheduledExecutor(
              Thread.ofPlatform().daemon().name("claim-cleaner").factory());
      schedule();
    }
  }

  /** Stops cleaning. */
  public synchronized void stop() {
    if (executor != null) {
      executor.shutdownNow();
      executor = null;
    }
  }

  /**
   * Removes the oldest rows that nobody needs, at most {@value #BATCH}.
   *
   * @return how many were removed; fails as the table does
   */
  public CompletableFuture<Integer> clean() {
    long before = settings.removableBefore(clock.millis());
    return table
        .scan(ClaimKey.TABLE, "", "", BATCH)
        .thenApply(rows -> rows.stream().filter(row -> madeBefore(row, before)).toList())
        .thenCompose(this::remove);
  }

  /**
   * Returns the time between two cleanings of one entry.
   *
   * @return milliseconds
   */
  long intervalMillis() {
    return Math.max(1, entries.getAsInt()) * 1_000L * BATCH / ROWS_PER_SECOND;
  }

  private CompletableFuture<Integer> remove(List<Row> rows) {
    if (rows.isEmpty()) {
      return CompletableFuture.completedFuture(0);
    }
    List<Transaction.Write> deletes =
        rows.stream()
            .<Transaction.Write>map(row -> new Transaction.Write.Delete(row.key()))
            .toList();
    return table.commit(new Transaction(List.of(), deletes)).thenApply(result -> rows.size());
  }

  private static boolean madeBefore(Row row, long before) {
    String key = row.key().key();
    Optional<ClaimKey> made = ClaimKey.of(new IdempotencyKey(key.substring(0, key.indexOf('/'))));
    return made.filter(claim -> claim.madeMillis() < before).isPresent();
  }

  private void schedule() {
    long delay = Math.round(intervalMillis() * (0.5 + random.nextDouble()));
    executor.schedule(
        () ->
            clean()
                .orTimeout(intervalMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((removed, thrown) -> again()),
        delay,
        TimeUnit.MILLISECONDS);
  }

  private synchronized void again() {
    if (executor != null) {
      schedule();
    }
  }
}
