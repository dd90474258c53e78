package org.hornbeamusher.forwarding;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.ids.SoftwareVersion;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.RowKey;
import org.hornbeamusher.table.Table;
import org.hornbeamusher.table.Transaction;

/**
 * The platform's table of the software versions that began the streams in progress, one row for
 * each incarnation of an entry, for entries that are left when an entry and the agents that knew
 * its streams have ended.
 */
final class StreamOriginTable {

  private static final String NAME = "streams";
  private static final ObjectMapper JSON = new ObjectMapper();

  /** When the row was written, by the clock of the table service. */
  private static final String WRITTEN = "written_ms";

  /** The ids of the streams by the version that began them. */
  private static final String STREAMS = "streams";

  /** Below the limit of a row. */
  private static final int MAX_ID_BYTES = 40_000;

  /** The table service returns no more rows at once. */
  private static final int MAX_ROWS = 500;

  /** Below the size of the smallest page that the table service cuts off. */
  private static final int FULL_PAGE_BYTES = 500_000;

  /** Half of the entries of a transaction; each deletion has a condition. */
  private static final int MAX_DELETIONS = 50;

  private final Table table;
  private final RowKey own;
  private final Clock serviceClock;

  /**
   * Creates the table of one incarnation of an entry.
   *
   * @param table the platform's table service
   * @param incarnation different for each start of an entry
   * @param serviceClock the clock of the table service
   */
  StreamOriginTable(Table table, String incarnation, Clock serviceClock) {
    this.table = table;
    this.own = new RowKey(NAME, incarnation);
    this.serviceClock = serviceClock;
  }

  /**
   * Replaces the streams of this entry.
   *
   * @param streams the versions that began them by id, the latest last
   * @return completes when the row is written; fails if it may not be
   */
  CompletableFuture<Void> write(Map<String, SoftwareVersion> streams) {
    ObjectNode row = JSON.createObjectNode().put(WRITTEN, serviceClock.millis());
    ObjectNode streamsNode = row.putObject(STREAMS);
    Map<String, ArrayNode> byVersion = new HashMap<>();
    List<Map.Entry<String, SoftwareVersion>> latestFirst =
        new ArrayList<>(streams.entrySet()).reversed();
    int bytes = 0;
    for (Map.Entry<String, SoftwareVersion> stream : latestFirst) {
      bytes += stream.getKey().length();
      if (bytes > MAX_ID_BYTES) {
        break;
      }
      byVersion
          .computeIfAbsent(stream.getValue().value(), streamsNode::putArray)
          .add(stream.getKey());
    }
    byte[] value = row.toString().getBytes(StandardCharsets.UTF_8);
    return table
        .commit(new Transaction(List.of(), List.of(new Transaction.Write.Put(own, value))))
        .thenApply(result -> null);
  }

  /**
   * Reads the streams of all entries.
   *
   * @return the versions that began them by id; fails if the table is not available
   */
  CompletableFuture<Map<String, SoftwareVersion>> read() {
    return rows()
        .thenApply(
            rows -> {
              Map<String, SoftwareVersion> streams = new HashMap<>();
              rows.forEach(row -> decode(row).ifPresent(content -> addStreams(content, streams)));
              return streams;
            });
  }

  /**
   * Deletes the rows of entries that have ended.
   *
   * @param ageMillis how long ago a row was written at least
   * @return completes when they are deleted; fails if they may not be
   */
  CompletableFuture<Void> deleteOlderThan(long ageMillis) {
    return rows()
        .thenCompose(
            rows -> {
              long latestMillis = serviceClock.millis() - ageMillis;
              List<Transaction.Condition> conditions = new ArrayList<>();
              List<Transaction.Write> deletions = new ArrayList<>();
              for (Row row : rows) {
                if (isWrittenBefore(row, latestMillis) && deletions.size() < MAX_DELETIONS) {
                  conditions.add(new Transaction.Condition.AtRevision(row.key(), row.revision()));
                  deletions.add(new Transaction.Write.Delete(row.key()));
                }
              }
              return deletions.isEmpty()
                  ? CompletableFuture.completedFuture(null)
                  : table.commit(new Transaction(conditions, deletions)).thenApply(result -> null);
            });
  }

  /** A row that cannot be read, as one of a later release, is left to those who can. */
  private static boolean isWrittenBefore(Row row, long latestMillis) {
    return decode(row)
        .filter(content -> content.path(WRITTEN).asLong(Long.MAX_VALUE) <= latestMillis)
        .isPresent();
  }

  private CompletableFuture<List<Row>> rows() {
    return rowsAfter("", new ArrayList<>());
  }

  private CompletableFuture<List<Row>> rowsAfter(String key, List<Row> found) {
    return table
        .scan(NAME, "", key, MAX_ROWS)
        .thenCompose(
            page -> {
              found.addAll(page);
              long bytes = page.stream().mapToLong(row -> row.value().length).sum();
              boolean full = page.size() == MAX_ROWS || bytes >= FULL_PAGE_BYTES;
              return full
                  ? rowsAfter(page.getLast().key().key(), found)
                  : CompletableFuture.completedFuture(found);
            });
  }

  private static void addStreams(JsonNode content, Map<String, SoftwareVersion> streams) {
    for (Map.Entry<String, JsonNode> version : content.path(STREAMS).properties()) {
      SoftwareVersion began = new SoftwareVersion(version.getKey());
      version.getValue().forEach(id -> streams.put(id.asText(), began));
    }
  }

  /** Returns the content of a row; empty if it cannot be read, as one of a later release. */
  private static Optional<JsonNode> decode(Row row) {
    try {
      return Optional.of(JSON.readTree(row.value())).filter(JsonNode::isObject);
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
