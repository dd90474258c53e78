package org.hornbeamusher.watch;

/** What a row of a table service holds. */
public sealed interface RowContent {

  /**
   * The row has a value, whatever that is.
   *
   * @param value its bytes
   * @param revision the service's revision at which they were written
   */
  record Present(byte[] value, long revision) implements RowContent {}

  /**
   * The row exists, but its value cannot be had from the answer.
   *
   * @param reason what is wrong with it
   */
  record Unreadable(String reason) implements RowContent {}

  /** The row is no more. */
  record Deleted() implements RowContent {}
}
