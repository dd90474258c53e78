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

/** Holds transactions back; their callers hear nothing meanwhile, or that the answer is lost. */
final class LateTable implements Table {

  private final Table table;
  private final ArrayDeque<Transaction> heldBack = new ArrayDeque<>();
  private boolean losing;
  private CompletableFuture<Void> waiting;

  LateTable(Table table) {
    this.table = table;
  }

  void loseAll(boolean isLosing) {
    losing = isLosing;
  }

  /** Makes the next transaction wait for {@link #deliverLate}, and its answer too. */
  void answerLate() {
    waiting = new CompletableFuture<>();
  }

  void deliverLate() {
    heldBack.forEach(transaction -> table.commit(transaction).join());
    heldBack.clear();
    if (waiting != null) {
      CompletableFuture<Void> delivered = waiting;
      waiting = null;
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
    if (losing) {
      heldBack.add(transaction);
      return CompletableFuture.failedFuture(
          HornbeamusherException.of(FailureType.PLATFORM_ANSWER_LOST, Outcome.UNKNOWN, "late"));
    }
    if (waiting != null) {
      return waiting.thenCompose(delivered -> table.commit(transaction));
    }
    return table.commit(transaction);
  }
}
