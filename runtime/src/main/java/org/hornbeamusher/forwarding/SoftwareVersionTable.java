package org.hornbeamusher.forwarding;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.table.CommitResult;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.RowKey;
import org.hornbeamusher.table.Table;
import org.hornbeamusher.table.Transaction;

/**
 * The platform's table of the software versions that have served lately, one row for each service,
 * for entries that have just started.
 */
final class SoftwareVersionTable {

  private static final String NAME = "software";
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Table table;

  SoftwareVersionTable(Table table) {
    this.table = table;
  }

  /**
   * Reads the versions of a service.
   *
   * @return empty if there is no row that can be read; fails if the table is not available
   */
  CompletableFuture<Optional<Set<String>>> read(String service) {
    return table.read(key(service)).thenApply(row -> row.flatMap(SoftwareVersionTable::decode));
  }

  /**
   * Replaces the versions of a service by those that an entry knows.
   *
   * @param served the versions that have served lately
   * @param complete whether no other version has; otherwise those in the row are kept
   * @return completes when the row is up to date; fails if it is not
   */
  CompletableFuture<Void> update(String service, Set<String> served, boolean complete) {
    return table
        .read(key(service))
        .thenCompose(
            found -> {
              Set<String> wanted = new TreeSet<>(served);
              Set<String> before = found.flatMap(SoftwareVersionTable::decode).orElse(Set.of());
              if (!complete) {
                wanted.addAll(before);
              }
              return found.isPresent() && wanted.equals(before)
                  ? CompletableFuture.completedFuture(null)
                  : replace(service, found, wanted);
            });
  }

  private CompletableFuture<Void> replace(String service, Optional<Row> found, Set<String> wanted) {
    ArrayNode json = JSON.createArrayNode();
    wanted.forEach(json::add);
    RowKey key = key(service);
    Transaction.Condition unchanged =
        found
            .<Transaction.Condition>map(
                row -> new Transaction.Condition.AtRevision(key, row.revision()))
            .orElse(new Transaction.Condition.Absent(key));
    Transaction.Write write =
        new Transaction.Write.Put(key, json.toString().getBytes(StandardCharsets.UTF_8));
    return table
        .commit(new Transaction(List.of(unchanged), List.of(write)))
        .thenCompose(
            result ->
                result instanceof CommitResult.Committed
                    ? CompletableFuture.completedFuture(null)
                    : update(service, wanted, false));
  }

  private static Optional<Set<String>> decode(Row row) {
    try {
      JsonNode json = JSON.readTree(row.value());
      if (json.isArray()) {
        Set<String> versions = new TreeSet<>();
        json.forEach(version -> versions.add(version.asText()));
        return Optional.of(versions);
      }
    } catch (IOException e) {
      // Handled below like JSON of another kind; the next update replaces the row.
    }
    return Optional.empty();
  }

  private static RowKey key(String service) {
    return new RowKey(NAME, service);
  }
}
