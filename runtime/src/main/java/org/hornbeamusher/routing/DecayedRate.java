package org.hornbeamusher.routing;

/**
 * An event rate with exponential decay, updated when events are added or the rate is read, so that
 * it needs neither a timer nor more than constant memory.
 */
public final class DecayedRate {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final double timeConstantMillis;
  private double events;
  private long lastUpdateMillis;

  /**
   * Creates a rate of 0.
   *
   * @param timeConstantMillis the time in which past events lose all but 1/e of their weight
   */
  public DecayedRate(double timeConstantMillis) {
    this.timeConstantMillis = timeConstantMillis;
  }

  void add(long now) {
    add(1, now);
  }

  /**
   * Counts several events, or an amount.
   *
   * @param amount what is counted
   * @param now milliseconds
   */
  public void add(double amount, long now) {
    decay(now);
    events += amount;
  }

  /**
   * Returns the rate.
   *
   * @param now milliseconds
   * @return what was counted, for each second
   */
  public double perSecond(long now) {
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
