package org.hornbeamusher.watch;

/** The content of a row of a table service. */
public sealed interface RowContent {

  /**
   * The row has a value, which may be empty.
   *
   * @param value its bytes
   * @param revision the service's revision at which they were written
   */
  record Present(byte[] value, long revision) implements RowContent {}

  /**
   * The row exists, but its value cannot be read from the response.
   *
   * @param reason what is wrong with it
   */
  record Unreadable(String reason) implements RowContent {}

  /** The row was deleted. */
  record Deleted() implements RowContent {}
}
