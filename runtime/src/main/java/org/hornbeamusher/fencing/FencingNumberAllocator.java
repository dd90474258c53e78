package org.hornbeamusher.fencing;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.ids.EndpointId;
import org.hornbeamusher.ids.FencingNumber;
import org.hornbeamusher.table.CommitResult;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.RowKey;
import org.hornbeamusher.table.Table;
import org.hornbeamusher.table.Transaction;

/**
 * Allocates the fencing number that an agent puts into its orders to the engine.
 *
 * <p>The number is read from the endpoint's row and incremented by compare-and-set, so it is higher
 * than every number allocated to an earlier agent of the endpoint. An engine that checks it refuses
 * the orders of a predecessor that resumes after a pause, and the predecessor learns from the
 * refusal that it was replaced. The number does not expire, so it cannot lapse while its holder is
 * paused: the holder of the highest number is the current agent. Holding a number longer does no
 * harm, because a successor allocates a higher one without the holder's consent.
 *
 * <p>Example: the row holds 4, and the engine has seen 6 from an agent that started during an
 * outage of the table. The new agent writes 7. Another agent that starts at the same moment fails
 * its compare-and-set, reads 7 and writes 8; the next order of the first agent is refused.
 *
 * <p>While the table is down, the agent uses the number after the highest that the engine has seen,
 * because loads must continue, and retries the table later.
 *
 * <p>Rejected: the start time of the agent, which can repeat when the clock is set back; and a
 * lease with an expiry, which would add renewals by 1,400 agents to the table's few hundred writes
 * per second without protecting better.
 */
public final class FencingNumberAllocator {

  private static final String TABLE = "fencing";

  /**
   * Maximum commit attempts; more would mean that agents of one endpoint start faster than rows are
   * written.
   */
  private static final int MAXIMUM_COMMIT_ATTEMPTS = 5;

  private static final String SEPARATOR = " ";

  private final Table table;
  private final RowKey key;
  private final String holder;

  /**
   * Creates an allocator for one agent.
   *
   * @param table the platform's table
   * @param endpoint the endpoint that the orders are for
   * @param holder unique id of this process
   */
  public FencingNumberAllocator(Table table, EndpointId endpoint, String holder) {
    this.table = table;
    this.key = new RowKey(TABLE, endpoint.value());
    this.holder = holder;
  }

  /**
   * Allocates a number, or returns the one this process has already allocated if the engine has not
   * seen it or a higher one.
   *
   * @param seenByEngine the highest number that the engine has seen; 0 for none
   * @return the number; fails while the table does not respond
   */
  public CompletableFuture<FencingNumber> acquire(long seenByEngine) {
    return tryAcquire(seenByEngine, 1);
  }

  private CompletableFuture<FencingNumber> tryAcquire(long seenByEngine, int commitAttempt) {
    return table.read(key).thenCompose(row -> allocate(row, seenByEngine, commitAttempt));
  }

  private CompletableFuture<FencingNumber> allocate(
      Optional<Row> found, long seenByEngine, int commitAttempt) {
    long highest = found.map(FencingNumberAllocator::parseNumber).orElse(0L);
    if (found.filter(this::isHeldByThisProcess).isPresent() && highest > seenByEngine) {
      // An earlier write took effect although its response was lost.
      return CompletableFuture.completedFuture(new FencingNumber(highest));
    }
    FencingNumber next = new FencingNumber(Math.max(highest, seenByEngine) + 1);
    return table
        .commit(putIfUnchanged(found, next))
        .handle((result, thrown) -> afterCommit(result, thrown, next, seenByEngine, commitAttempt))
        .thenCompose(settled -> settled);
  }

  private CompletableFuture<FencingNumber> afterCommit(
      CommitResult result,
      Throwable thrown,
      FencingNumber next,
      long seenByEngine,
      int commitAttempt) {
    if (result instanceof CommitResult.Committed) {
      return CompletableFuture.completedFuture(next);
    }
    boolean retryable =
        thrown == null
            || HornbeamusherException.from(thrown).type() == FailureType.PLATFORM_ANSWER_LOST;
    if (retryable && commitAttempt < MAXIMUM_COMMIT_ATTEMPTS) {
      return tryAcquire(seenByEngine, commitAttempt + 1);
    }
    return CompletableFuture.failedFuture(
        thrown == null
            ? HornbeamusherException.notRun(FailureType.PLATFORM_UNAVAILABLE, key.key())
            : HornbeamusherException.from(thrown));
  }

  private Transaction putIfUnchanged(Optional<Row> found, FencingNumber next) {
    Transaction.Condition condition =
        found
            .<Transaction.Condition>map(
                row -> new Transaction.Condition.AtRevision(key, row.revision()))
            .orElse(new Transaction.Condition.Absent(key));
    byte[] value = (next.value() + SEPARATOR + holder).getBytes(StandardCharsets.UTF_8);
    return new Transaction(List.of(condition), List.of(new Transaction.Write.Put(key, value)));
  }

  private boolean isHeldByThisProcess(Row row) {
    return text(row).endsWith(SEPARATOR + holder);
  }

  private static long parseNumber(Row row) {
    String text = text(row);
    try {
      return Long.parseLong(text.substring(0, Math.max(0, text.indexOf(SEPARATOR))));
    } catch (NumberFormatException e) {
      throw HornbeamusherException.notRun(FailureType.PLATFORM_MALFORMED, row.key()).causedBy(e);
    }
  }

  private static String text(Row row) {
    return new String(row.value(), StandardCharsets.UTF_8);
  }
}
