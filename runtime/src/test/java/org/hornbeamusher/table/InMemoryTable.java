package org.hornbeamusher.table;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;

/** An in-memory table with fault injection. */
public final class InMemoryTable implements Table {

  private final Map<String, TreeMap<String, Row>> tables = new TreeMap<>();
  private final ArrayDeque<Runnable> beforeCommits = new ArrayDeque<>();
  private int lostResponses;
  private boolean down;
  private int commits;
  private int reads;

  /** Makes the next commits take effect and fail with a lost response. */
  public void loseResponses(int count) {
    lostResponses = count;
  }

  /** Sets whether every call fails without effect. */
  public void down(boolean isDown) {
    down = isDown;
  }

  /** Runs an action before the next commit, for example a concurrent write. */
  public void beforeNextCommit(Runnable action) {
    beforeCommits.add(action);
  }

  /** Returns the number of attempted commits. */
  public int commits() {
    return commits;
  }

  /** Returns the number of reads and scans. */
  public int reads() {
    return reads;
  }

  @Override
  public CompletableFuture<Optional<Row>> read(RowKey key) {
    reads++;
    return respond(() -> Optional.ofNullable(table(key.table()).get(key.key())));
  }

  @Override
  public CompletableFuture<List<Row>> scan(String table, String prefix, String after, int limit) {
    reads++;
    return respond(
        () ->
            table(table).tailMap(after, false).values().stream()
                .filter(row -> row.key().key().startsWith(prefix))
                .limit(limit)
                .toList());
  }

  @Override
  public CompletableFuture<CommitResult> commit(Transaction transaction) {
    commits++;
    Runnable before = beforeCommits.poll();
    if (before != null) {
      before.run();
    }
    CompletableFuture<CommitResult> result = respond(() -> apply(transaction));
    if (lostResponses > 0) {
      lostResponses--;
      return CompletableFuture.failedFuture(
          HornbeamusherException.of(FailureType.PLATFORM_ANSWER_LOST, Outcome.UNKNOWN, "cut"));
    }
    return result;
  }

  private <T> CompletableFuture<T> respond(Supplier<T> response) {
    if (down) {
      return CompletableFuture.failedFuture(
          HornbeamusherException.notRun(FailureType.PLATFORM_UNAVAILABLE, "down"));
    }
    return CompletableFuture.completedFuture(response.get());
  }

  private CommitResult apply(Transaction transaction) {
    for (Transaction.Condition condition : transaction.conditions()) {
      Optional<Row> row =
          Optional.ofNullable(table(condition.key().table()).get(condition.key().key()));
      boolean holds =
          switch (condition) {
            case Transaction.Condition.Absent absent -> row.isEmpty();
            case Transaction.Condition.AtRevision at ->
                row.map(Row::revision).orElse(0L) == at.revision();
          };
      if (!holds) {
        return new CommitResult.Conflict(condition.key(), row);
      }
    }
    transaction.writes().forEach(this::write);
    return new CommitResult.Committed();
  }

  private void write(Transaction.Write write) {
    TreeMap<String, Row> rows = table(write.key().table());
    switch (write) {
      case Transaction.Write.Put put -> {
        Row old = rows.get(put.key().key());
        long revision = old == null ? 1 : old.revision() + 1;
        rows.put(put.key().key(), new Row(put.key(), revision, put.value()));
      }
      case Transaction.Write.Delete delete -> rows.remove(delete.key().key());
    }
  }

  private TreeMap<String, Row> table(String name) {
    return tables.computeIfAbsent(name, unused -> new TreeMap<>());
  }
}
