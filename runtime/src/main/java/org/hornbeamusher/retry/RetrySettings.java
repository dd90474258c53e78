package org.hornbeamusher.retry;

/**
 * Figures of retries at one entry.
 *
 * @param budgetShare retries earned by one success
 * @param floorPerSecond retries earned by time alone, so that the first requests after a start and
 *     a service with little traffic have some
 * @param budgetLimit most retries that can be saved up
 * @param attemptLimit most attempts of one request
 * @param baseBackoffMillis longest wait before the second attempt; it doubles with each attempt
 * @param maximumBackoffMillis longest wait of all
 */
public record RetrySettings(
    double budgetShare,
    double floorPerSecond,
    double budgetLimit,
    int attemptLimit,
    long baseBackoffMillis,
    long maximumBackoffMillis) {

  /**
   * A tenth of the successes, one in ten seconds from time alone, three attempts. When everything
   * fails, the extra load is the saved-up ten and then 0.1 a second.
   */
  public static final RetrySettings DEFAULT = new RetrySettings(0.1, 0.1, 10, 3, 50, 1_000);
}
