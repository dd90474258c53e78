package org.hornbeamusher.standin;

/** A token bucket that holds one second's calls. */
final class CallRate {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final double perSecond;
  private double tokens;
  private long lastMillis;

  CallRate(double perSecond) {
    this.perSecond = perSecond;
    this.tokens = perSecond;
  }

  boolean take(long now) {
    double earned = (now - lastMillis) * perSecond / MILLIS_PER_SECOND;
    tokens = Math.min(perSecond, tokens + Math.max(0, earned));
    lastMillis = now;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
