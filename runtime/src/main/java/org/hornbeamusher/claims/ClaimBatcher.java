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
 * Groups conditional single-row writes into transactions.
 *
 * <p>At most one transaction is in flight. A write that arrives while there is none is committed at
 * once. Writes that arrive meanwhile are queued until it completes and are then committed together,
 * at most {@link #MAXIMUM_BATCH}. So there is no delay on an idle entry, and the throughput of a
 * burst (for example a batch job of bookings at one entry) is limited by round trips rather than by
 * the table's write rate. A fixed batching delay was rejected: 400 entries with few claims each
 * would wait and still have nothing to group.
 *
 * <p>A transaction is atomic. When the condition of one row fails, the write of that row completes
 * with the conflict and the others are committed again. Each such round completes at least one
 * write, so the process terminates.
 */
final class ClaimBatcher {

  /** Maximum writes in one transaction; far below the row limit of any table service. */
  static final int MAXIMUM_BATCH = 64;

  /**
   * Maximum wait for one transaction. Otherwise one unresponsive connection to the table would
   * block every later claim. A write that times out may have taken effect and is treated like that.
   */
  private static final long TIMEOUT_MILLIS = 10_000;

  private final Table table;
  private final ArrayDeque<PendingWrite> queue = new ArrayDeque<>();
  private boolean inFlight;

  ClaimBatcher(Table table) {
    this.table = table;
  }

  /** Commits one write, alone or in a batch; completes like {@link Table#commit}. */
  CompletableFuture<CommitResult> commit(Transaction.Condition condition, Transaction.Write write) {
    PendingWrite pending = new PendingWrite(condition, write, new CompletableFuture<>());
    synchronized (this) {
      queue.add(pending);
    }
    sendNext();
    return pending.result;
  }

  private void sendNext() {
    List<PendingWrite> batch;
    synchronized (this) {
      if (inFlight || queue.isEmpty()) {
        return;
      }
      inFlight = true;
      batch = takeBatch();
    }
    send(batch);
  }

  /**
   * Takes queued writes up to the first whose row is already in the batch: of two writes of one row
   * in a transaction the second would not see the first.
   */
  private List<PendingWrite> takeBatch() {
    List<PendingWrite> batch = new ArrayList<>();
    List<RowKey> keys = new ArrayList<>();
    while (!queue.isEmpty()
        && batch.size() < MAXIMUM_BATCH
        && !keys.contains(queue.peek().write.key())) {
      PendingWrite pending = queue.poll();
      batch.add(pending);
      keys.add(pending.write.key());
    }
    return batch;
  }

  private void send(List<PendingWrite> batch) {
    Transaction transaction =
        new Transaction(
            batch.stream().map(PendingWrite::condition).toList(),
            batch.stream().map(PendingWrite::write).toList());
    table
        .commit(transaction)
        .orTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .whenComplete((result, thrown) -> onResult(batch, result, thrown));
  }

  private void onResult(List<PendingWrite> batch, CommitResult result, Throwable thrown) {
    switch (result) {
      case CommitResult.Conflict conflict when batch.size() > 1 -> onConflict(batch, conflict);
      case null -> {
        clearInFlight();
        batch.forEach(pending -> pending.result.completeExceptionally(thrown));
      }
      default -> {
        clearInFlight();
        batch.forEach(pending -> pending.result.complete(result));
      }
    }
    sendNext();
  }

  private void onConflict(List<PendingWrite> batch, CommitResult.Conflict conflict) {
    List<PendingWrite> failed =
        batch.stream().filter(pending -> pending.write.key().equals(conflict.key())).toList();
    List<PendingWrite> remaining = new ArrayList<>(batch);
    remaining.removeAll(failed);
    synchronized (this) {
      remaining.reversed().forEach(queue::addFirst);
    }
    clearInFlight();
    failed.forEach(pending -> pending.result.complete(conflict));
  }

  private synchronized void clearInFlight() {
    inFlight = false;
  }

  private record PendingWrite(
      Transaction.Condition condition,
      Transaction.Write write,
      CompletableFuture<CommitResult> result) {}
}
