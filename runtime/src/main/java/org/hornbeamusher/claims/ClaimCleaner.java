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
import org.hornbeamusher.ids.InvalidIdentifierException;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.Table;
import org.hornbeamusher.table.Transaction;

/**
 * Deletes claim rows whose keys every entry refuses as expired, at a limited rate.
 *
 * <p>Rows are scanned oldest first. The delete needs no condition: the key is older than the
 * retention by more than the maximum clock skew, so no entry can claim it any more. The interval
 * grows with the number of entries, so that all of them together delete at most {@link
 * #MAXIMUM_ROWS_PER_SECOND}.
 */
public final class ClaimCleaner {

  /**
   * Maximum rows that all entries together delete per second; above the rate at which rows are
   * created (see {@code docs/CLAIMS.md}).
   */
  public static final int MAXIMUM_ROWS_PER_SECOND = 50;

  /** Maximum rows deleted in one transaction. */
  static final int MAXIMUM_BATCH = 100;

  private final Table table;
  private final ClaimSettings settings;
  private final Clock clock;
  private final IntSupplier entryCount;
  private final RandomGenerator random;
  private ScheduledExecutorService executor;

  /**
   * Creates a cleaner that is not started.
   *
   * @param table the platform's table
   * @param settings retention of claims
   * @param clock the clock
   * @param entryCount number of entries that run a cleaner, as known to this entry
   * @param random source of the jitter
   */
  public ClaimCleaner(
      Table table,
      ClaimSettings settings,
      Clock clock,
      IntSupplier entryCount,
      RandomGenerator random) {
    this.table = table;
    this.settings = settings;
    this.clock = clock;
    this.entryCount = entryCount;
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
   * Deletes the oldest expired rows, at most {@value #MAXIMUM_BATCH}.
   *
   * @return the number of deleted rows; fails when the table operation fails
   */
  public CompletableFuture<Integer> deleteExpired() {
    long before = settings.removableBefore(clock.millis());
    return table
        .scan(ClaimKey.TABLE, "", "", MAXIMUM_BATCH)
        .thenApply(rows -> rows.stream().filter(row -> createdBefore(row, before)).toList())
        .thenCompose(this::delete);
  }

  /**
   * Returns the mean time between two runs of the cleaner on one entry.
   *
   * @return milliseconds
   */
  long intervalMillis() {
    return Math.max(1, entryCount.getAsInt()) * 1_000L * MAXIMUM_BATCH / MAXIMUM_ROWS_PER_SECOND;
  }

  private CompletableFuture<Integer> delete(List<Row> rows) {
    if (rows.isEmpty()) {
      return CompletableFuture.completedFuture(0);
    }
    List<Transaction.Write> deletes =
        rows.stream()
            .<Transaction.Write>map(row -> new Transaction.Write.Delete(row.key()))
            .toList();
    return table.commit(new Transaction(List.of(), deletes)).thenApply(result -> rows.size());
  }

  private static boolean createdBefore(Row row, long before) {
    String rowKey = row.key().key();
    int end = rowKey.indexOf('/');
    return end > 0
        && claimKey(rowKey.substring(0, end))
            .filter(claimKey -> claimKey.createdMillis() < before)
            .isPresent();
  }

  /** Returns empty for the key of a row that another program wrote. */
  private static Optional<ClaimKey> claimKey(String key) {
    try {
      return ClaimKey.of(new IdempotencyKey(key));
    } catch (InvalidIdentifierException e) {
      return Optional.empty();
    }
  }

  private void schedule() {
    long delay = Math.round(intervalMillis() * (0.5 + random.nextDouble()));
    executor.schedule(
        () ->
            deleteExpired()
                .orTimeout(intervalMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((removed, thrown) -> scheduleNext()),
        delay,
        TimeUnit.MILLISECONDS);
  }

  private synchronized void scheduleNext() {
    if (executor != null) {
      schedule();
    }
  }
}
