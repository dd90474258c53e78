package org.hornbeamusher.suspects;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.quarantine.CrashRecord;
import org.hornbeamusher.quarantine.CrashSuspect;
import org.hornbeamusher.table.CommitResult;
import org.hornbeamusher.table.RowKey;
import org.hornbeamusher.table.Table;
import org.hornbeamusher.table.Transaction;
import org.hornbeamusher.watch.ChangedRow;
import org.hornbeamusher.watch.RowContent;
import org.hornbeamusher.watch.TableChanges;

/**
 * The platform's table of crash records, one row for each suspect. Knows the rows as they were last
 * read and replaces them by compare-and-set. Not thread-safe.
 */
public final class CrashRecordTable {

  /** The name of the table. */
  public static final String NAME = "crashes";

  private final Table table;
  private Map<CrashSuspect, StoredRecord> rows = new HashMap<>();

  /**
   * Creates a table of which nothing has been read.
   *
   * @param table the platform's table service
   */
  public CrashRecordTable(Table table) {
    this.table = table;
  }

  /**
   * Applies rows that were read.
   *
   * @param changes all rows or the changed ones
   * @return what they contain
   */
  public Changes received(TableChanges changes) {
    Map<CrashSuspect, StoredRecord> before = rows;
    if (changes.complete()) {
      rows = new HashMap<>();
    }
    List<CrashRecord> records = new ArrayList<>();
    List<CrashSuspect> deleted = new ArrayList<>();
    List<String> unreadable = new ArrayList<>();
    for (ChangedRow row : changes.rows()) {
      switch (row.content()) {
        case RowContent.Present present -> {
          Optional<CrashSuspect> suspect = CrashSuspect.parse(row.key());
          Optional<CrashRecord> record =
              suspect.flatMap(known -> record(row.key(), present, before.get(known)));
          record.ifPresentOrElse(records::add, () -> unreadable.add(row.key()));
          // The revision of an unreadable row is needed to replace it.
          suspect
              .map(known -> record.orElse(new CrashRecord(known, List.of())))
              .ifPresent(found -> rows.put(found.suspect(), new StoredRecord(found, present)));
        }
        case RowContent.Unreadable broken -> unreadable.add(row.key());
        case RowContent.Deleted gone -> {
          Optional<CrashSuspect> suspect = CrashSuspect.parse(row.key());
          suspect.ifPresent(rows::remove);
          suspect.ifPresent(deleted::add);
        }
      }
    }
    return new Changes(records, deleted, unreadable);
  }

  /** Returns the record in a row, without decoding one that has not changed. */
  private static Optional<CrashRecord> record(
      String key, RowContent.Present row, StoredRecord before) {
    if (before != null && before.isOf(row)) {
      return before.isReadable() ? Optional.of(before.record()) : Optional.empty();
    }
    return CrashRecordCodec.decode(row.value())
        .filter(found -> found.suspect().toString().equals(key));
  }

  /**
   * Returns the row of a suspect as it was last read.
   *
   * @param suspect the suspect
   * @return empty if there was none
   */
  public Optional<CrashRecord> stored(CrashSuspect suspect) {
    return Optional.ofNullable(rows.get(suspect)).map(StoredRecord::record);
  }

  /**
   * Replaces rows in one transaction, if none of them has changed since it was last read.
   *
   * @param records the rows to write
   * @param deletions the rows to delete, which must exist
   * @return whether the transaction took effect; fails if the table is not available
   */
  public CompletableFuture<CommitResult> replace(
      List<CrashRecord> records, List<CrashSuspect> deletions) {
    List<Transaction.Condition> conditions = new ArrayList<>();
    List<Transaction.Write> writes = new ArrayList<>();
    for (CrashRecord record : records) {
      conditions.add(unchanged(record.suspect()));
      writes.add(new Transaction.Write.Put(key(record.suspect()), CrashRecordCodec.encode(record)));
    }
    for (CrashSuspect suspect : deletions) {
      conditions.add(unchanged(suspect));
      writes.add(new Transaction.Write.Delete(key(suspect)));
    }
    return table.commit(new Transaction(conditions, writes));
  }

  private Transaction.Condition unchanged(CrashSuspect suspect) {
    StoredRecord row = rows.get(suspect);
    return row == null
        ? new Transaction.Condition.Absent(key(suspect))
        : new Transaction.Condition.AtRevision(key(suspect), row.revision());
  }

  private static RowKey key(CrashSuspect suspect) {
    return new RowKey(NAME, suspect.toString());
  }

  /**
   * What was read from the table.
   *
   * @param records the records of the rows
   * @param deleted the suspects of deleted rows
   * @param unreadable the keys of rows that contain no record
   */
  public record Changes(
      List<CrashRecord> records, List<CrashSuspect> deleted, List<String> unreadable) {

    /** Copies the lists. */
    public Changes {
      records = List.copyOf(records);
      deleted = List.copyOf(deleted);
      unreadable = List.copyOf(unreadable);
    }
  }

  private record StoredRecord(CrashRecord record, long revision, int valueHash) {

    StoredRecord(CrashRecord record, RowContent.Present row) {
      this(record, row.revision(), Arrays.hashCode(row.value()));
    }

    /** A table that was restored from a copy may repeat a revision with another value. */
    boolean isOf(RowContent.Present row) {
      return revision == row.revision() && valueHash == Arrays.hashCode(row.value());
    }

    boolean isReadable() {
      return !record.crashes().isEmpty();
    }
  }
}
