package org.hornbeamusher.retry;

/**
 * Limits of retries at one entry.
 *
 * @param retriesPerSuccess retries earned per success
 * @param minRetriesPerSecond retries earned per second regardless of successes, for the first
 *     requests after a start and for services with little traffic
 * @param maxSavedRetries maximum number of saved retries
 * @param maxAttempts maximum number of attempts per request
 * @param baseBackoffMillis maximum back-off before the second attempt; doubles with each attempt
 * @param maximumBackoffMillis upper bound of the back-off
 */
public record RetrySettings(
    double retriesPerSuccess,
    double minRetriesPerSecond,
    double maxSavedRetries,
    int maxAttempts,
    long baseBackoffMillis,
    long maximumBackoffMillis) {

  /**
   * One retry per ten successes and one every ten seconds, three attempts. When everything fails,
   * the additional load is the ten saved retries and then 0.1 a second.
   */
  public static final RetrySettings DEFAULT = new RetrySettings(0.1, 0.1, 10, 3, 50, 1_000);
}
