package org.hornbeamusher.documents;

import java.util.Optional;

/**
 * How many changes a partner may still make: a token bucket that is kept in the partner's own row.
 *
 * <p>It answers a partner whose script submits in a loop. Without it each change would cost a
 * transaction of three writes and travel to every process, at the other partner's expense too. One
 * change a second is 26 times what both partners together are to make at the size to come (3,300 a
 * day), and costs 3 of several hundred writes a second. The burst lets a release of {@value #BURST}
 * documents go through at once.
 *
 * @param tokens whole changes left
 * @param refilledMillis when the last token was added
 */
public record ChangeBudget(int tokens, long refilledMillis) {

  /** Changes that may follow one another without a pause. */
  public static final int BURST = 60;

  /** Time in which one more change is allowed. */
  public static final long REFILL_MILLIS = 1_000;

  /**
   * Returns the budget of a partner that has changed nothing yet.
   *
   * @param now milliseconds
   * @return a full bucket
   */
  public static ChangeBudget full(long now) {
    return new ChangeBudget(BURST, now);
  }

  /**
   * Takes one change.
   *
   * @param now milliseconds; a time before the last refill counts as that time, because entries'
   *     clocks differ
   * @return what is left, or empty when there is none
   */
  public Optional<ChangeBudget> take(long now) {
    ChangeBudget current = refilled(now);
    if (current.tokens == 0) {
      return Optional.empty();
    }
    return Optional.of(new ChangeBudget(current.tokens - 1, current.refilledMillis));
  }

  /**
   * Returns when a change is allowed after {@link #take} found none.
   *
   * @param now milliseconds
   * @return milliseconds from now
   */
  public long waitMillis(long now) {
    return Math.max(1, refilledMillis + REFILL_MILLIS - now);
  }

  private ChangeBudget refilled(long now) {
    long periods = Math.max(0, now - refilledMillis) / REFILL_MILLIS;
    if (tokens + periods >= BURST) {
      return new ChangeBudget(BURST, Math.max(now, refilledMillis));
    }
    return new ChangeBudget((int) (tokens + periods), refilledMillis + periods * REFILL_MILLIS);
  }
}
