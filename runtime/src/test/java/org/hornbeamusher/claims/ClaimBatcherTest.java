package org.hornbeamusher.claims;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.table.CommitResult;
import org.hornbeamusher.table.InMemoryTable;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.RowKey;
import org.hornbeamusher.table.Table;
import org.hornbeamusher.table.Transaction;
import org.junit.jupiter.api.Test;

class ClaimBatcherTest {

  private final HeldTable table = new HeldTable();
  private final ClaimBatcher batcher = new ClaimBatcher(table);

  @Test
  void writesQueuedBehindOneTransactionAreCommittedTogether() {
    List<CompletableFuture<CommitResult>> results = new ArrayList<>();
    for (int i = 0; i < 11; i++) {
      results.add(insert("key-" + i));
    }
    table.completeAll();

    results.forEach(result -> assertInstanceOf(CommitResult.Committed.class, result.join()));
    assertEquals(List.of(1, 10), table.sizes);
  }

  /**
   * One write of a transaction conflicts with an existing row. Only that write may fail; the others
   * must still be committed.
   */
  @Test
  void conflictOfOneWriteDoesNotFailTheOthers() {
    insert("taken");
    table.completeAll();
    insert("first");
    final CompletableFuture<CommitResult> before = insert("a");
    final CompletableFuture<CommitResult> taken = insert("taken");
    final CompletableFuture<CommitResult> after = insert("b");
    table.completeAll();

    assertInstanceOf(CommitResult.Committed.class, before.join());
    assertInstanceOf(CommitResult.Conflict.class, taken.join());
    assertInstanceOf(CommitResult.Committed.class, after.join());
  }

  @Test
  void twoWritesOfOneRowAreNotInOneTransaction() {
    insert("first");
    insert("same");
    CompletableFuture<CommitResult> second = insert("same");
    table.completeAll();

    assertTrue(table.sizes.stream().allMatch(size -> size == 1));
    assertInstanceOf(CommitResult.Conflict.class, second.join());
  }

  private CompletableFuture<CommitResult> insert(String key) {
    RowKey row = new RowKey("claims", key);
    return batcher.commit(
        new Transaction.Condition.Absent(row), new Transaction.Write.Put(row, new byte[1]));
  }

  /** Holds transactions back until {@link #completeAll}. */
  private static final class HeldTable implements Table {

    private final InMemoryTable rows = new InMemoryTable();
    private final List<Integer> sizes = new ArrayList<>();
    private final List<Runnable> held = new ArrayList<>();

    void completeAll() {
      while (!held.isEmpty()) {
        held.remove(0).run();
      }
    }

    @Override
    public CompletableFuture<Optional<Row>> read(RowKey key) {
      return rows.read(key);
    }

    @Override
    public CompletableFuture<List<Row>> scan(String name, String prefix, String after, int limit) {
      return rows.scan(name, prefix, after, limit);
    }

    @Override
    public CompletableFuture<CommitResult> commit(Transaction transaction) {
      sizes.add(transaction.writes().size());
      CompletableFuture<CommitResult> result = new CompletableFuture<>();
      held.add(() -> result.complete(rows.commit(transaction).join()));
      return result;
    }
  }
}
