package org.hornbeamusher.routing;

/** Events a second, each forgotten exponentially; constant memory and no timer. */
final class DecayedRate {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final double timeConstantMillis;
  private double events;
  private long lastMillis;

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

  long lastMillis() {
    return lastMillis;
  }

  /** A clock that steps back decays nothing. */
  private void decay(long now) {
    if (now > lastMillis) {
      events *= Math.exp((lastMillis - now) / timeConstantMillis);
      lastMillis = now;
    }
  }
}
