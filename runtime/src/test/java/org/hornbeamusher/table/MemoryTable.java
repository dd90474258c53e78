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

/** A table in memory whose next calls can be made to fail. */
public final class MemoryTable implements Table {

  private final Map<String, TreeMap<String, Row>> tables = new TreeMap<>();
  private final ArrayDeque<Runnable> beforeCommits = new ArrayDeque<>();
  private int lostAnswers;
  private boolean down;
  private int commits;
  private int reads;

  /** Makes the next commits take effect and lose their answers. */
  public void loseAnswers(int count) {
    lostAnswers = count;
  }

  /** Makes every call fail without effect, or no longer. */
  public void down(boolean isDown) {
    down = isDown;
  }

  /** Runs something between the reads of a caller and its next commit. */
  public void beforeNextCommit(Runnable action) {
    beforeCommits.add(action);
  }

  /** Returns how many commits were tried. */
  public int commits() {
    return commits;
  }

  /** Returns how many reads and scans were made. */
  public int reads() {
    return reads;
  }

  @Override
  public CompletableFuture<Optional<Row>> read(RowKey key) {
    reads++;
    return answer(() -> Optional.ofNullable(table(key.table()).get(key.key())));
  }

  @Override
  public CompletableFuture<List<Row>> scan(String table, String prefix, String after, int limit) {
    reads++;
    return answer(
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
    CompletableFuture<CommitResult> result = answer(() -> apply(transaction));
    if (lostAnswers > 0) {
      lostAnswers--;
      return CompletableFuture.failedFuture(
          HornbeamusherException.of(FailureType.PLATFORM_ANSWER_LOST, Outcome.UNKNOWN, "cut"));
    }
    return result;
  }

  private <T> CompletableFuture<T> answer(Supplier<T> answer) {
    if (down) {
      return CompletableFuture.failedFuture(
          HornbeamusherException.notRun(FailureType.PLATFORM_UNAVAILABLE, "down"));
    }
    return CompletableFuture.completedFuture(answer.get());
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
