package org.hornbeamusher.documents;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.table.CommitResult;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.RowKey;
import org.hornbeamusher.table.Table;
import org.hornbeamusher.table.Transaction;

/** Runs an action directly after the first commit, before the caller gets its result. */
class AfterCommitTable implements Table {

  private final Table table;
  private Runnable afterFirstCommit;

  AfterCommitTable(Table table, Runnable afterFirstCommit) {
    this.table = table;
    this.afterFirstCommit = afterFirstCommit;
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
    CompletableFuture<CommitResult> result = table.commit(transaction);
    Runnable next = afterFirstCommit;
    afterFirstCommit = () -> {};
    next.run();
    return result;
  }
}
