package org.hornbeamusher.scheduling;

/**
 * Exponentially decaying event count: an event's weight halves with each half-life.
 *
 * <p>A plain count would favour an adapter that was hot yesterday; a sliding window would drop a
 * rarely used one at its edge. Each counter stores one number and one timestamp.
 */
final class DecayedCount {

  private final double halfLifeMillis;
  private double value;
  private long asOf;

  DecayedCount(double halfLifeMillis) {
    this.halfLifeMillis = halfLifeMillis;
  }

  /** Returns the count at a time; after a step back of the clock no decay is applied. */
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
