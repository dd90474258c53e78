package org.hornbeamusher.process;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.metrics.ProcessMetric;
import org.hornbeamusher.metrics.ProcessMetrics;
import org.hornbeamusher.table.CommitResult;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.RowKey;
import org.hornbeamusher.table.Table;
import org.hornbeamusher.table.Transaction;

/** Counts the calls of a table, including failed ones: the table service bills and limits calls. */
final class MeteredTable implements Table {

  private final Table table;
  private final ProcessMetrics metrics;

  MeteredTable(Table table, ProcessMetrics metrics) {
    this.table = table;
    this.metrics = metrics;
  }

  @Override
  public CompletableFuture<Optional<Row>> read(RowKey key) {
    metrics.meter(ProcessMetric.TABLE_READS).mark();
    return table.read(key);
  }

  @Override
  public CompletableFuture<List<Row>> scan(String name, String prefix, String after, int limit) {
    metrics.meter(ProcessMetric.TABLE_READS).mark();
    return table.scan(name, prefix, after, limit);
  }

  @Override
  public CompletableFuture<CommitResult> commit(Transaction transaction) {
    metrics.meter(ProcessMetric.TABLE_WRITES).mark();
    return table.commit(transaction);
  }
}
