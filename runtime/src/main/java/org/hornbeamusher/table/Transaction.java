package org.hornbeamusher.table;

import java.util.List;

/**
 * Writes that take effect together, and only if every condition holds.
 *
 * @param conditions what must hold; empty means unconditional
 * @param writes what is written
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {

  /** Copies the lists. */
  public Transaction {
    conditions = List.copyOf(conditions);
    writes = List.copyOf(writes);
  }

  /** What must hold of one row. */
  public sealed interface Condition {

    /**
     * Returns the row the condition is about.
     *
     * @return the row's name
     */
    RowKey key();

    /**
     * The row does not exist.
     *
     * @param key the row's name
     */
    record Absent(RowKey key) implements Condition {}

    /**
     * The row exists at a revision.
     *
     * @param key the row's name
     * @param revision the revision it must have
     */
    record AtRevision(RowKey key, long revision) implements Condition {}
  }

  /** One row's change. */
  public sealed interface Write {

    /**
     * Returns the row that changes.
     *
     * @return the row's name
     */
    RowKey key();

    /**
     * Creates or replaces a row.
     *
     * @param key the row's name
     * @param value the new content
     */
    record Put(RowKey key, byte[] value) implements Write {}

    /**
     * Removes a row.
     *
     * @param key the row's name
     */
    record Delete(RowKey key) implements Write {}
  }
}
