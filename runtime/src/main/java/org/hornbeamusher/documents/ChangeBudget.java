package org.hornbeamusher.documents;

import java.util.Optional;

/**
 * Rate limit of a partner's changes: a token bucket that is stored in the partner's own row.
 *
 * <p>It limits a partner whose script submits in a loop. Without it each change would cost a
 * transaction of three writes and be sent to every process, at the other partner's expense too. One
 * change a second is 26 times the rate planned for both partners together (3,300 changes a day) and
 * costs 3 of several hundred writes a second. The burst lets a release of {@value #BURST} documents
 * go through at once.
 *
 * @param tokens changes left
 * @param refilledMillis time at which the last token was added
 */
public record ChangeBudget(int tokens, long refilledMillis) {

  /** Capacity of the bucket: the changes that may follow one another without a pause. */
  public static final int BURST = 60;

  /** Time after which one token is added. */
  public static final long REFILL_MILLIS = 1_000;

  /**
   * Returns the budget of a partner that has made no changes yet.
   *
   * @param now milliseconds
   * @return a full bucket
   */
  public static ChangeBudget full(long now) {
    return new ChangeBudget(BURST, now);
  }

  /**
   * Takes one token.
   *
   * @param now milliseconds; a time before the last refill counts as the time of the refill,
   *     because the clocks of entries differ
   * @return the remaining budget, or empty when there is no token
   */
  public Optional<ChangeBudget> take(long now) {
    ChangeBudget current = refilled(now);
    if (current.tokens == 0) {
      return Optional.empty();
    }
    return Optional.of(new ChangeBudget(current.tokens - 1, current.refilledMillis));
  }

  /**
   * Returns when the next change is allowed after {@link #take} found no token.
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
