package org.hornbeamusher.retry;

/**
 * A token bucket of retries that is filled by successful requests. Not thread-safe.
 *
 * <p>Invariant: retries taken never exceed {@code limit + share * successes + floor * seconds}.
 */
public final class RetryBudget {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final RetrySettings settings;

  /** Number of available retries, possibly fractional; from 0 to the limit. */
  private double tokens;

  private long lastMillis;

  /**
   * Creates a full budget.
   *
   * @param settings retries per success, retries per second and limit
   * @param now current time in milliseconds
   */
  public RetryBudget(RetrySettings settings, long now) {
    this.settings = settings;
    this.tokens = settings.maxSavedRetries();
    this.lastMillis = now;
  }

  /** Adds the retries earned by one success. */
  public void succeeded() {
    tokens = Math.min(settings.maxSavedRetries(), tokens + settings.retriesPerSuccess());
  }

  /**
   * Takes one retry if available.
   *
   * @param now current time in milliseconds; a step backwards earns nothing
   * @return whether it was taken
   */
  public boolean tryTake(long now) {
    double seconds = Math.max(0, now - lastMillis) / MILLIS_PER_SECOND;
    lastMillis = Math.max(lastMillis, now);
    tokens =
        Math.min(settings.maxSavedRetries(), tokens + seconds * settings.minRetriesPerSecond());
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
