package org.hornbeamusher.transfer;

/**
 * Decides when a response has timed out.
 *
 * <p>A timeout on the complete response would have to depend on its size: a large response over a
 * slow link would time out on every attempt, each time with nearly all of it received. This class
 * limits the time until the response starts, and from then on the time in which fewer than {@link
 * #MIN_PROGRESS_BYTES} arrive. A response may thus take as long as its size requires, and a silent
 * connection is detected as early as by a timeout on the complete response.
 *
 * <p>A response whose data arrives after its timeout is {@link #overdue}: the process itself was
 * suspended, and the data may have been sent before that.
 *
 * <p>Not thread-safe.
 */
public final class TransferProgress {

  /** A connection that delivers less than this within the stall timeout counts as silent. */
  static final long MIN_PROGRESS_BYTES = 4 * 1024;

  private final TransferTimeouts limits;
  private final long startMillis;
  private long lastProgressMillis;
  private long bytes;
  private long bytesAtProgress;
  private boolean started;
  private boolean overdue;

  /**
   * Creates the state of a request that is sent now.
   *
   * @param limits the timeouts of the response
   * @param now milliseconds
   */
  public TransferProgress(TransferTimeouts limits, long now) {
    this.limits = limits;
    this.startMillis = now;
    this.lastProgressMillis = now;
  }

  /**
   * Records that a part of the request was sent.
   *
   * @param now milliseconds
   */
  public void requestPartSent(long now) {
    if (!started) {
      lastProgressMillis = now;
    }
  }

  /**
   * Records that the response has started.
   *
   * @param now milliseconds
   */
  public void responseStarted(long now) {
    overdue |= now > dueMillis();
    started = true;
    lastProgressMillis = now;
  }

  /**
   * Records that a part of the response body has arrived.
   *
   * @param count number of bytes
   * @param now milliseconds
   */
  public void bodyPartReceived(int count, long now) {
    overdue |= now > dueMillis();
    bytes += count;
    if (bytes - bytesAtProgress >= MIN_PROGRESS_BYTES) {
      bytesAtProgress = bytes;
      lastProgressMillis = now;
    }
  }

  /**
   * Returns when the response times out if nothing more arrives.
   *
   * @return milliseconds
   */
  public long dueMillis() {
    return lastProgressMillis
        + (started ? limits.stallTimeoutMillis() : limits.startTimeoutMillis());
  }

  /**
   * Returns whether a part of the response arrived after the timeout.
   *
   * @return whether the response must be discarded, although it may be complete
   */
  public boolean overdue() {
    return overdue;
  }

  /**
   * Returns duration and size of what has arrived.
   *
   * @param now milliseconds
   * @return the transfer up to now
   */
  public TransferStats transfer(long now) {
    return new TransferStats(now - startMillis, bytes);
  }
}
