/** Milliseconds since the start of the test. */
final class Clock {
  private static final long START = System.nanoTime();

  private Clock() {}

  static long millis() {
    return (System.nanoTime() - START) / 1_000_000;
  }
}
