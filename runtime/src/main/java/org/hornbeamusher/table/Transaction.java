package org.hornbeamusher.table;

import java.util.List;

/**
 * Writes that take effect atomically, and only if all conditions hold.
 *
 * @param conditions conditions that must all hold; empty for an unconditional transaction
 * @param writes the writes to apply
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {

  /** Copies the lists. */
  public Transaction {
    conditions = List.copyOf(conditions);
    writes = List.copyOf(writes);
  }

  /** A condition on one row. */
  public sealed interface Condition {

    /**
     * Returns the row that the condition applies to.
     *
     * @return the key of the row
     */
    RowKey key();

    /**
     * The row does not exist.
     *
     * @param key identifies the row
     */
    record Absent(RowKey key) implements Condition {}

    /**
     * The row exists at a revision.
     *
     * @param key identifies the row
     * @param revision the revision it must have
     */
    record AtRevision(RowKey key, long revision) implements Condition {}
  }

  /** A write of one row. */
  public sealed interface Write {

    /**
     * Returns the row that is written.
     *
     * @return the key of the row
     */
    RowKey key();

    /**
     * Creates or replaces a row.
     *
     * @param key identifies the row
     * @param value the new content
     */
    record Put(RowKey key, byte[] value) implements Write {}

    /**
     * Deletes a row.
     *
     * @param key identifies the row
     */
    record Delete(RowKey key) implements Write {}
  }
}
