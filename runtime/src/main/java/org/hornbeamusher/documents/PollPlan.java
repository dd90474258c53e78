package org.hornbeamusher.documents;

/**
 * Decides when a process reads the versions of all documents from the table.
 *
 * <p>If each of 400 entries and 1,400 agents polled every 2 s, that would be 900 of the about 2,000
 * reads a second that the table serves, which others need too. So only entries poll, and the
 * interval grows with their number such that all of them together make {@link #readsPerSecond}
 * reads: the first of 400 entries finds a change after 50 ms on average, and heartbeats between
 * entries and agents spread it ({@link DocumentSync}). A small number of entries polls no more
 * often than every {@link #minimumMillis}.
 *
 * <p>During an outage the interval doubles with every failure up to {@link #maximumBackoffMillis},
 * and every interval is multiplied by a random factor from 0.5 to 1.5. Without this jitter,
 * processes that were restarted together would poll at the same time from then on, and would send a
 * burst of reads to a table that has just recovered.
 *
 * @param readsPerSecond maximum reads a second of all polling processes together
 * @param minimumMillis shortest mean time between two polls of one process
 * @param maximumBackoffMillis longest mean time between two polls during an outage, unless the
 *     ordinary interval is longer
 */
public record PollPlan(double readsPerSecond, long minimumMillis, long maximumBackoffMillis) {

  /**
   * 20 reads a second are 1 % of the table's reads. Of the target of 2 s for finding a change, an
   * interval of 1 s leaves half to the read.
   */
  public static final PollPlan STANDARD = new PollPlan(20, 1_000, 30_000);

  private static final int MAXIMUM_DOUBLINGS = 16;

  /**
   * Returns the mean time between two polls of one process.
   *
   * @param pollers number of polling processes known to this one; at least 1
   * @return milliseconds
   */
  public long intervalMillis(int pollers) {
    return Math.max(minimumMillis, Math.round(Math.max(1, pollers) * 1_000 / readsPerSecond));
  }

  /**
   * Returns the delay of the first poll of a process that starts.
   *
   * @param pollers number of polling processes
   * @param random a random number from 0 to 1
   * @return milliseconds from now; at most one interval
   */
  public long firstDelayMillis(int pollers, double random) {
    long interval = intervalMillis(pollers);
    return interval <= minimumMillis ? 0 : Math.round(interval * random);
  }

  /**
   * Returns the delay of the next poll.
   *
   * @param pollers number of polling processes
   * @param failures number of consecutive failed polls
   * @param random a random number from 0 to 1
   * @return milliseconds from now
   */
  public long delayMillis(int pollers, int failures, double random) {
    long interval = intervalMillis(pollers);
    long maximumMillis = Math.max(interval, maximumBackoffMillis);
    long backoffMillis = Math.min(maximumMillis, interval << Math.min(failures, MAXIMUM_DOUBLINGS));
    return Math.round(backoffMillis * (0.5 + random));
  }
}
