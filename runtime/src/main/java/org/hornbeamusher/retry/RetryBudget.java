package org.hornbeamusher.retry;

/**
 * A token bucket that successes fill. Not safe for use by several threads at once.
 *
 * <p>Invariant: retries taken never exceed {@code limit + share * successes + floor * seconds}.
 */
public final class RetryBudget {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final RetrySettings settings;

  /** Whole and partial retries that may be taken now; from 0 to the limit. */
  private double tokens;

  private long lastMillis;

  /**
   * Creates a full budget.
   *
   * @param settings share, floor and limit
   * @param now milliseconds
   */
  public RetryBudget(RetrySettings settings, long now) {
    this.settings = settings;
    this.tokens = settings.budgetLimit();
    this.lastMillis = now;
  }

  /** Earns the share of one success. */
  public void succeeded() {
    tokens = Math.min(settings.budgetLimit(), tokens + settings.budgetShare());
  }

  /**
   * Takes one retry if there is one.
   *
   * @param now milliseconds; a step back earns nothing
   * @return whether it was taken
   */
  public boolean tryTake(long now) {
    double seconds = Math.max(0, now - lastMillis) / MILLIS_PER_SECOND;
    lastMillis = Math.max(lastMillis, now);
    tokens = Math.min(settings.budgetLimit(), tokens + seconds * settings.floorPerSecond());
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
