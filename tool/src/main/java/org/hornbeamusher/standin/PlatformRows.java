package org.hornbeamusher.standin;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.hornbeamusher.table.CommitResult;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.RowKey;
import org.hornbeamusher.table.Transaction;
import org.hornbeamusher.table.Transaction.Condition;
import org.hornbeamusher.table.Transaction.Write;

/**
 * In-memory rows of the platform stand-in with conditional transactions.
 *
 * <p>When a row is deleted and created again, its revision continues from the last one, so that a
 * condition on an old revision never matches the new row.
 */
final class PlatformRows {

  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private final Map<RowKey, Long> lastRevisions = new HashMap<>();

  Optional<Row> read(RowKey key) {
    return Optional.ofNullable(table(key.table()).get(key.key()));
  }

  List<Row> scan(String table, String prefix, String after, int limit) {
    String from = after.compareTo(prefix) > 0 ? after : prefix;
    return table(table).tailMap(from, true).values().stream()
        .filter(row -> row.key().key().compareTo(after) > 0 || after.isEmpty())
        .takeWhile(row -> row.key().key().startsWith(prefix))
        .limit(limit)
        .toList();
  }

  CommitResult commit(Transaction transaction) {
    for (Condition condition : transaction.conditions()) {
      Optional<Row> current = read(condition.key());
      boolean holds =
          switch (condition) {
            case Condition.Absent absent -> current.isEmpty();
            case Condition.AtRevision at ->
                current.map(Row::revision).filter(r -> r == at.revision()).isPresent();
          };
      if (!holds) {
        return new CommitResult.Conflict(condition.key(), current);
      }
    }
    transaction.writes().forEach(this::write);
    return new CommitResult.Committed();
  }

  private void write(Write write) {
    RowKey key = write.key();
    switch (write) {
      case Write.Put put -> {
        long revision = lastRevisions.merge(key, 1L, Long::sum);
        table(key.table()).put(key.key(), new Row(key, revision, put.value()));
      }
      case Write.Delete delete -> table(key.table()).remove(key.key());
    }
  }

  private TreeMap<String, Row> table(String name) {
    return tables.computeIfAbsent(name, key -> new TreeMap<>());
  }
}
