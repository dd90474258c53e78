package org.hornbeamusher.claims;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.table.CommitResult;
import org.hornbeamusher.table.RowKey;
import org.hornbeamusher.table.Table;
import org.hornbeamusher.table.Transaction;

/**
 * Groups conditional writes of single rows into transactions.
 *
 * <p>A write that finds no transaction on its way is committed at once. Those that arrive meanwhile
 * wait for its answer and then go together, at most {@link #MAXIMUM_BATCH}. So an idle entry pays
 * no delay, and a burst (a batch job of bookings at one entry) is bounded by round trips and not by
 * the table's writes a second. A fixed linger was rejected: 400 entries with few claims each would
 * wait and still have nothing to group.
 *
 * <p>A transaction takes effect whole or not at all. When one row's condition fails, that write is
 * told so and the others are committed again; each round settles one, so it ends.
 */
final class ClaimBatcher {

  /** Writes in one transaction; keeps it far below a row limit of any table service. */
  static final int MAXIMUM_BATCH = 64;

  /**
   * Longest wait for one transaction. One connection to the table that went silent would otherwise
   * hold back every later claim. What times out may have taken effect and is settled like that.
   */
  private static final long TIMEOUT_MILLIS = 10_000;

  private final Table table;
  private final ArrayDeque<Pending> waiting = new ArrayDeque<>();
  private boolean busy;

  ClaimBatcher(Table table) {
    this.table = table;
  }

  /** Commits one write, alone or with others; completes as {@link Table#commit} does. */
  CompletableFuture<CommitResult> commit(Transaction.Condition condition, Transaction.Write write) {
    Pending pending = new Pending(condition, write, new CompletableFuture<>());
    synchronized (this) {
      waiting.add(pending);
    }
    next();
    return pending.result;
  }

  private void next() {
    List<Pending> batch;
    synchronized (this) {
      if (busy || waiting.isEmpty()) {
        return;
      }
      busy = true;
      batch = takeDistinct();
    }
    send(batch);
  }

  /** Two writes of one row must not meet in a transaction: the second would not see the first. */
  private List<Pending> takeDistinct() {
    List<Pending> batch = new ArrayList<>();
    List<RowKey> keys = new ArrayList<>();
    while (!waiting.isEmpty()
        && batch.size() < MAXIMUM_BATCH
        && !keys.contains(waiting.peek().write.key())) {
      Pending pending = waiting.poll();
      batch.add(pending);
      keys.add(pending.write.key());
    }
    return batch;
  }

  private void send(List<Pending> batch) {
    Transaction transaction =
        new Transaction(
            batch.stream().map(Pending::condition).toList(),
            batch.stream().map(Pending::write).toList());
    table
        .commit(transaction)
        .orTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .whenComplete((result, thrown) -> answered(batch, result, thrown));
  }

  private void answered(List<Pending> batch, CommitResult result, Throwable thrown) {
    switch (result) {
      case CommitResult.Conflict conflict when batch.size() > 1 -> split(batch, conflict);
      case null -> {
        release();
        batch.forEach(pending -> pending.result.completeExceptionally(thrown));
      }
      default -> {
        release();
        batch.forEach(pending -> pending.result.complete(result));
      }
    }
    next();
  }

  private void split(List<Pending> batch, CommitResult.Conflict conflict) {
    List<Pending> failed =
        batch.stream().filter(pending -> pending.write.key().equals(conflict.key())).toList();
    List<Pending> others = new ArrayList<>(batch);
    others.removeAll(failed);
    synchronized (this) {
      others.reversed().forEach(waiting::addFirst);
    }
    release();
    failed.forEach(pending -> pending.result.complete(conflict));
  }

  private synchronized void release() {
    busy = false;
  }

  private record Pending(
      Transaction.Condition condition,
      Transaction.Write write,
      CompletableFuture<CommitResult> result) {}
}
