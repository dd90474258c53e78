package org.hornbeamusher.scheduling;

/**
 * The time for which a leaving endpoint may still be given what it has taken in.
 *
 * <p>The clock is the machine's, since deadlines come from other processes. Once it is seen to have
 * been set back the window is closed for good, because how much of it is left is not known.
 */
final class DrainWindow {

  private final long openMillis;
  private boolean leaving;
  private boolean closed;
  private long latestMillis;
  private long endMillis;

  /**
   * Creates the window of an endpoint that stays.
   *
   * @param openMillis how long it is open after {@link #leave}
   */
  DrainWindow(long openMillis) {
    this.openMillis = openMillis;
  }

  /** The endpoint leaves; further calls change nothing. */
  void leave(long now) {
    if (!leaving) {
      leaving = true;
      latestMillis = now;
      endMillis = now + openMillis;
    }
  }

  /** Returns whether requests may be started. */
  boolean open(long now) {
    if (leaving) {
      closed |= now < latestMillis || now >= endMillis;
      latestMillis = Math.max(latestMillis, now);
    }
    return !closed;
  }
}
