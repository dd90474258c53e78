package org.hornbeamusher.scheduling;

/**
 * The time window in which a leaving endpoint may still start requests that its agent has accepted.
 *
 * <p>It uses the wall clock, since deadlines come from other processes. Once the clock is seen to
 * have been set back, the window is closed for good, because the remaining time is unknown.
 */
final class DrainWindow {

  private final long openMillis;
  private boolean leaving;
  private boolean closed;
  private long latestMillis;
  private long endMillis;

  /**
   * Creates the window of an endpoint that is not leaving.
   *
   * @param openMillis how long the window stays open after {@link #leave}
   */
  DrainWindow(long openMillis) {
    this.openMillis = openMillis;
  }

  /** Records that the endpoint is leaving; further calls have no effect. */
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
