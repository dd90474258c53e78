package org.hornbeamusher.clock;

/** The wall clock of this machine. */
public final class SystemClock implements Clock {

  /** The only instance. */
  public static final SystemClock INSTANCE = new SystemClock();

  private SystemClock() {}

  @Override
  public long millis() {
    return System.currentTimeMillis();
  }
}
