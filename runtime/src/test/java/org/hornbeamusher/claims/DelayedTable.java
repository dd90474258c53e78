package org.hornbeamusher.claims;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.table.CommitResult;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.RowKey;
import org.hornbeamusher.table.Table;
import org.hornbeamusher.table.Transaction;

/**
 * A table that delays transactions until {@link #deliver}; their callers get no response until
 * then, or a lost-response failure at once.
 */
final class DelayedTable implements Table {

  private final Table table;
  private final ArrayDeque<Transaction> delayed = new ArrayDeque<>();
  private boolean losingResponses;
  private CompletableFuture<Void> delivery;

  DelayedTable(Table table) {
    this.table = table;
  }

  void loseResponses(boolean lose) {
    losingResponses = lose;
  }

  /** Delays transactions and their responses until {@link #deliver}. */
  void delayTransactions() {
    delivery = new CompletableFuture<>();
  }

  void deliver() {
    delayed.forEach(transaction -> table.commit(transaction).join());
    delayed.clear();
    if (delivery != null) {
      CompletableFuture<Void> delivered = delivery;
      delivery = null;
      delivered.complete(null);
    }
  }

  @Override
  public CompletableFuture<Optional<Row>> read(RowKey key) {
    return table.read(key);
  }

  @Override
  public CompletableFuture<List<Row>> scan(String name, String prefix, String after, int limit) {
    return table.scan(name, prefix, after, limit);
  }

  @Override
  public CompletableFuture<CommitResult> commit(Transaction transaction) {
    if (losingResponses) {
      delayed.add(transaction);
      return CompletableFuture.failedFuture(
          HornbeamusherException.of(FailureType.PLATFORM_ANSWER_LOST, Outcome.UNKNOWN, "late"));
    }
    if (delivery != null) {
      return delivery.thenCompose(delivered -> table.commit(transaction));
    }
    return table.commit(transaction);
  }
}
