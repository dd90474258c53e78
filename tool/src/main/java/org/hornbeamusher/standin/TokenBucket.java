package org.hornbeamusher.standin;

/** A token bucket whose capacity is the number of calls allowed per second. */
final class TokenBucket {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final double permitsPerSecond;
  private double tokens;
  private long lastMillis;

  TokenBucket(double permitsPerSecond) {
    this.permitsPerSecond = permitsPerSecond;
    this.tokens = permitsPerSecond;
  }

  boolean tryAcquire(long now) {
    double earned = (now - lastMillis) * permitsPerSecond / MILLIS_PER_SECOND;
    tokens = Math.min(permitsPerSecond, tokens + Math.max(0, earned));
    lastMillis = now;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
