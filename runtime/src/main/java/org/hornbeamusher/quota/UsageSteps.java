package org.hornbeamusher.quota;

/** The steps of time in which processes state usage to each other. */
public final class UsageSteps {

  private static final long STEP_MILLIS = 100;

  private UsageSteps() {}

  /**
   * Returns the step that contains a time.
   *
   * @param millis a time by the own clock
   * @return the step, which only this process can compare with others
   */
  public static long stepOf(long millis) {
    return Math.floorDiv(millis, STEP_MILLIS);
  }

  /**
   * Returns the time between the beginnings of two steps of one process.
   *
   * @param earlier a step
   * @param later a step
   * @return milliseconds
   */
  static long millisBetween(long earlier, long later) {
    return (later - earlier) * STEP_MILLIS;
  }
}
