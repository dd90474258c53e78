package org.hornbeamusher.scheduling;

/**
 * Counts events so that an old one weighs less: half as much after each half-life.
 *
 * <p>A plain count would keep an adapter that was hot yesterday; a window would forget a rare one
 * at its edge. One number and one time are kept per counter.
 */
final class DecayedCount {

  private final double halfLifeMillis;
  private double value;
  private long asOf;

  DecayedCount(double halfLifeMillis) {
    this.halfLifeMillis = halfLifeMillis;
  }

  /** Returns the count at a time; a clock that stepped back is read as no time passed. */
  double at(long now) {
    double elapsed = Math.max(0, now - asOf);
    return value * Math.pow(0.5, elapsed / halfLifeMillis);
  }

  /** Adds events at a time. */
  void add(double events, long now) {
    value = at(now) + events;
    asOf = Math.max(asOf, now);
  }
}
