package org.hornbeamusher.documents;

/**
 * Decides when a process reads the versions of all documents from the table.
 *
 * <p>The load pattern is every process of the system asking the table the same question. At 400
 * entries and 1,400 agents, each asking every 2 s, that is 900 reads a second out of about 2,000
 * that others need too. So only entries ask, and the interval grows with their number such that all
 * of them together make {@link #readsPerSecond} reads: the first of 400 entries finds a change
 * after 50 ms on average, and heartbeats between entries and agents carry it on ({@link
 * DocumentSync}). Few entries ask no more often than {@link #minimumMillis}.
 *
 * <p>During an outage the interval doubles with every failure up to {@link #maximumBackoffMillis},
 * and every interval is drawn from half to one and a half of its length. Without that, processes
 * started together by a restart of everything would ask together for ever, and would meet a table
 * that has just come back with one burst.
 *
 * @param readsPerSecond what all polling processes together may ask for
 * @param minimumMillis shortest mean time between two polls of one process
 * @param maximumBackoffMillis longest mean time between two polls during an outage, unless the
 *     ordinary interval is longer
 */
public record PollPlan(double readsPerSecond, long minimumMillis, long maximumBackoffMillis) {

  /** One in a hundred of the table's reads; 1 s leaves half of the 2 s aimed at to the read. */
  public static final PollPlan STANDARD = new PollPlan(20, 1_000, 30_000);

  private static final int MAXIMUM_DOUBLINGS = 16;

  /**
   * Returns the mean time between two polls of one process.
   *
   * @param pollers how many processes poll, as far as this one knows; at least 1
   * @return milliseconds
   */
  public long intervalMillis(int pollers) {
    return Math.max(minimumMillis, Math.round(Math.max(1, pollers) * 1_000 / readsPerSecond));
  }

  /**
   * Returns when a starting process polls first.
   *
   * @param pollers how many processes poll
   * @param random from 0 to 1
   * @return milliseconds from now; less than one interval
   */
  public long firstDelayMillis(int pollers, double random) {
    long interval = intervalMillis(pollers);
    return interval <= minimumMillis ? 0 : Math.round(interval * random);
  }

  /**
   * Returns when a process polls again.
   *
   * @param pollers how many processes poll
   * @param failures how many polls failed in a row
   * @param random from 0 to 1
   * @return milliseconds from now
   */
  public long delayMillis(int pollers, int failures, double random) {
    long interval = intervalMillis(pollers);
    long longest = Math.max(interval, maximumBackoffMillis);
    long backedOff = Math.min(longest, interval << Math.min(failures, MAXIMUM_DOUBLINGS));
    return Math.round(backedOff * (0.5 + random));
  }
}
