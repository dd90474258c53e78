package org.hornbeamusher.routing;

/**
 * An event rate with exponential decay, updated when events are added or the rate is read, so that
 * it needs neither a timer nor more than constant memory.
 */
final class DecayedRate {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final double timeConstantMillis;
  private double events;
  private long lastUpdateMillis;

  DecayedRate(double timeConstantMillis) {
    this.timeConstantMillis = timeConstantMillis;
  }

  void add(long now) {
    decay(now);
    events += 1;
  }

  double perSecond(long now) {
    decay(now);
    return events * MILLIS_PER_SECOND / timeConstantMillis;
  }

  long lastUpdateMillis() {
    return lastUpdateMillis;
  }

  /** Applies the decay since the last update; none when the clock was set back. */
  private void decay(long now) {
    if (now > lastUpdateMillis) {
      events *= Math.exp((lastUpdateMillis - now) / timeConstantMillis);
      lastUpdateMillis = now;
    }
  }
}
