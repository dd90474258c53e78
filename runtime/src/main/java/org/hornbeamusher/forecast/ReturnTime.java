package org.hornbeamusher.forecast;

/** When a refused caller may return. */
public sealed interface ReturnTime {

  /**
   * Returns the delay after which capacity is expected for this caller.
   *
   * @return milliseconds from now
   */
  long millis();

  /**
   * Capacity is expected for the caller at this time, and the caller can still use it.
   *
   * @param millis milliseconds from now
   */
  record Promised(long millis) implements ReturnTime {}

  /**
   * Capacity is expected only when the caller can no longer use it, so none is set aside.
   *
   * @param millis milliseconds from now
   */
  record TooLate(long millis) implements ReturnTime {}
}
