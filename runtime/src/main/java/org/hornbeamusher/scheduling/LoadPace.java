package org.hornbeamusher.scheduling;

/**
 * Measures how long a load takes here from being wanted to being resident.
 *
 * <p>The weight store is shared, so a load takes its own time and the wait for a turn, which only
 * experience tells. The mean is over about {@value #MEMORY} loads.
 */
final class LoadPace {

  private static final double MEMORY = 4;
  private static final long NOT_WANTED = Long.MIN_VALUE;

  private double turnMillis;
  private long wantedSince = NOT_WANTED;

  LoadPace(SchedulerSettings settings) {
    this.turnMillis = settings.loadMillis();
  }

  /** Notes whether any load is wanted. */
  void wanted(boolean any, long now) {
    if (!any) {
      wantedSince = NOT_WANTED;
    } else if (wantedSince == NOT_WANTED) {
      wantedSince = now;
    }
  }

  /** Notes that a load ended. */
  void ended(long now) {
    if (wantedSince != NOT_WANTED) {
      turnMillis += (Math.max(0, now - wantedSince) - turnMillis) / MEMORY;
      wantedSince = NOT_WANTED;
    }
  }

  /** Returns the expected time from one load to the next. */
  double turnMillis() {
    return turnMillis;
  }
}
