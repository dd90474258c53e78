package org.hornbeamusher.scheduling;

/**
 * Measures how long a load takes at this endpoint from being wanted to its end.
 *
 * <p>The weight store is shared, so the time consists of the load itself and of the wait for a
 * permit, which can only be measured. The moving mean covers about {@value #MEAN_WINDOW_LOADS}
 * loads.
 */
final class LoadPace {

  private static final double MEAN_WINDOW_LOADS = 4;
  private static final long NOT_WANTED = Long.MIN_VALUE;

  private double intervalMillis;
  private long wantedSince = NOT_WANTED;

  LoadPace(SchedulerSettings settings) {
    this.intervalMillis = settings.loadMillis();
  }

  /** Records whether any load is wanted. */
  void loadWanted(boolean any, long now) {
    if (!any) {
      wantedSince = NOT_WANTED;
    } else if (wantedSince == NOT_WANTED) {
      wantedSince = now;
    }
  }

  /** Records that a load ended, whether it succeeded or not. */
  void loadEnded(long now) {
    if (wantedSince != NOT_WANTED) {
      intervalMillis += (Math.max(0, now - wantedSince) - intervalMillis) / MEAN_WINDOW_LOADS;
      wantedSince = NOT_WANTED;
    }
  }

  /** Returns the expected time from one load to the next. */
  double intervalMillis() {
    return intervalMillis;
  }
}
