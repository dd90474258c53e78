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
 * Gives an agent the fencing number of its orders.
 *
 * <p>The number is above every number that an earlier agent of the endpoint was given. An engine
 * that honours it refuses the orders of a predecessor that was paused and wakes up; the predecessor
 * learns from that refusal that it was replaced. There is no term that could lapse while its holder
 * is paused: whoever holds the highest number is the agent, and holding it longer does no harm,
 * because a successor takes a higher one without asking.
 *
 * <p>Example: the row says 4 and the engine has seen 6 from an agent that started during an outage.
 * The new agent writes 7. A second one that starts at the same moment loses the compare-and-set,
 * reads 7 and writes 8; the first one's next order is refused.
 *
 * <p>With the table down the agent goes on with one above what the engine has seen, because loads
 * must go on, and asks the table again later.
 *
 * <p>Rejected: the time at which an agent started, which a clock that steps back can repeat, and a
 * lease with a term, which adds a renewal for each of 1,400 agents to the table's few hundred
 * writes a second and protects no better.
 */
public final class FencingNumberAllocator {

  private static final String TABLE = "fencing";

  /** More rounds would mean that agents of one endpoint start faster than rows are written. */
  private static final int MAXIMUM_ROUNDS = 5;

  private static final String SEPARATOR = " ";

  private final Table table;
  private final RowKey key;
  private final String holder;

  /**
   * Creates a lease that is not acquired.
   *
   * @param table the platform's table
   * @param endpoint the endpoint whose orders are numbered
   * @param holder tells this process from every other
   */
  public FencingNumberAllocator(Table table, EndpointId endpoint, String holder) {
    this.table = table;
    this.key = new RowKey(TABLE, endpoint.value());
    this.holder = holder;
  }

  /**
   * Takes a number.
   *
   * @param seenByEngine the highest number the engine has seen; 0 for none
   * @return the number; fails while the table does not answer
   */
  public CompletableFuture<FencingNumber> acquire(long seenByEngine) {
    return round(seenByEngine, 1);
  }

  private CompletableFuture<FencingNumber> round(long seenByEngine, int number) {
    return table.read(key).thenCompose(row -> take(row, seenByEngine, number));
  }

  private CompletableFuture<FencingNumber> take(
      Optional<Row> found, long seenByEngine, int number) {
    long highest = found.map(FencingNumberAllocator::numberOf).orElse(0L);
    if (found.filter(this::isOwn).isPresent() && highest > seenByEngine) {
      // The write of an earlier round took effect although its answer was lost.
      return CompletableFuture.completedFuture(new FencingNumber(highest));
    }
    FencingNumber next = new FencingNumber(Math.max(highest, seenByEngine) + 1);
    return table
        .commit(write(found, next))
        .handle((result, thrown) -> settle(result, thrown, next, seenByEngine, number))
        .thenCompose(settled -> settled);
  }

  private CompletableFuture<FencingNumber> settle(
      CommitResult result, Throwable thrown, FencingNumber next, long seenByEngine, int number) {
    if (result instanceof CommitResult.Committed) {
      return CompletableFuture.completedFuture(next);
    }
    boolean again =
        thrown == null
            || HornbeamusherException.from(thrown).type() == FailureType.PLATFORM_ANSWER_LOST;
    if (again && number < MAXIMUM_ROUNDS) {
      return round(seenByEngine, number + 1);
    }
    return CompletableFuture.failedFuture(
        thrown == null
            ? HornbeamusherException.notRun(FailureType.PLATFORM_UNAVAILABLE, key.key())
            : HornbeamusherException.from(thrown));
  }

  private Transaction write(Optional<Row> found, FencingNumber next) {
    Transaction.Condition condition =
        found
            .<Transaction.Condition>map(
                row -> new Transaction.Condition.AtRevision(key, row.revision()))
            .orElse(new Transaction.Condition.Absent(key));
    byte[] value = (next.value() + SEPARATOR + holder).getBytes(StandardCharsets.UTF_8);
    return new Transaction(List.of(condition), List.of(new Transaction.Write.Put(key, value)));
  }

  private boolean isOwn(Row row) {
    return text(row).endsWith(SEPARATOR + holder);
  }

  private static long numberOf(Row row) {
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
