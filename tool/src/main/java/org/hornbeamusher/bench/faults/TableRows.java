package org.hornbeamusher.bench.faults;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.hornbeamusher.table.CommitResult;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.RowKey;
import org.hornbeamusher.table.Transaction;

/** The rows of the platform's table, shared by the processes of one history. */
final class TableRows {

  private final Map<String, TreeMap<String, Row>> tables = new TreeMap<>();
  private final boolean conditionsIgnored;
  private boolean down;

  TableRows(InjectedDefect defect) {
    this.conditionsIgnored = defect == InjectedDefect.CONDITIONS_IGNORED;
  }

  void setDown(boolean isDown) {
    down = isDown;
  }

  boolean isDown() {
    return down;
  }

  Optional<Row> read(RowKey key) {
    return Optional.ofNullable(table(key.table()).get(key.key()));
  }

  List<Row> scan(String table, String prefix, String after, int limit) {
    return table(table).tailMap(after, false).values().stream()
        .filter(row -> row.key().key().startsWith(prefix))
        .limit(limit)
        .toList();
  }

  CommitResult apply(Transaction transaction) {
    for (Transaction.Condition condition : transaction.conditions()) {
      if (!conditionsIgnored && !holds(condition)) {
        return new CommitResult.Conflict(condition.key(), read(condition.key()));
      }
    }
    transaction.writes().forEach(this::write);
    return new CommitResult.Committed();
  }

  private boolean holds(Transaction.Condition condition) {
    Optional<Row> row = read(condition.key());
    return switch (condition) {
      case Transaction.Condition.Absent absent -> row.isEmpty();
      case Transaction.Condition.AtRevision at ->
          row.isPresent() && row.get().revision() == at.revision();
    };
  }

  private void write(Transaction.Write write) {
    TreeMap<String, Row> rows = table(write.key().table());
    switch (write) {
      case Transaction.Write.Put put -> {
        long revision = read(put.key()).map(Row::revision).orElse(0L) + 1;
        rows.put(put.key().key(), new Row(put.key(), revision, put.value()));
      }
      case Transaction.Write.Delete delete -> rows.remove(delete.key().key());
    }
  }

  private TreeMap<String, Row> table(String name) {
    return tables.computeIfAbsent(name, unused -> new TreeMap<>());
  }
}
