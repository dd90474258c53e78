package org.hornbeamusher.transfer;

/**
 * Decides when an answer is given up.
 *
 * <p>A limit on the whole would have to know its size: a large answer over a slow link would be cut
 * for ever, each time with nearly all of it received. What is limited here is the time to its
 * beginning, and from then on the time in which fewer than {@link #PROGRESS_BYTES} arrive. So an
 * answer may take as long as its size needs, and a connection that went silent is found as soon as
 * by a limit on the whole.
 *
 * <p>An answer that comes when it should have been given up is {@link #overdue}: the process itself
 * was stopped for a while, and what it reads then may be from before.
 *
 * <p>Not safe for use by several threads at once.
 */
public final class TransferProgress {

  /** What trickles more slowly than this in the time of a stall counts as silent. */
  static final long PROGRESS_BYTES = 4 * 1024;

  private final TransferLimits limits;
  private final long startMillis;
  private long progressMillis;
  private long bytes;
  private long bytesAtProgress;
  private boolean begun;
  private boolean overdue;

  /**
   * Creates the state of a question that is sent now.
   *
   * @param limits how long the answer may keep waiting
   * @param now milliseconds
   */
  public TransferProgress(TransferLimits limits, long now) {
    this.limits = limits;
    this.startMillis = now;
    this.progressMillis = now;
  }

  /**
   * A part of the question was taken.
   *
   * @param now milliseconds
   */
  public void sent(long now) {
    if (!begun) {
      progressMillis = now;
    }
  }

  /**
   * The answer begins.
   *
   * @param now milliseconds
   */
  public void begun(long now) {
    overdue |= now > dueMillis();
    begun = true;
    progressMillis = now;
  }

  /**
   * A part of the answer's body arrived.
   *
   * @param count bytes
   * @param now milliseconds
   */
  public void received(int count, long now) {
    overdue |= now > dueMillis();
    bytes += count;
    if (bytes - bytesAtProgress >= PROGRESS_BYTES) {
      bytesAtProgress = bytes;
      progressMillis = now;
    }
  }

  /**
   * Returns when the answer is given up if nothing more happens.
   *
   * @return milliseconds
   */
  public long dueMillis() {
    return progressMillis + (begun ? limits.stallMillis() : limits.beginMillis());
  }

  /**
   * Returns whether a part came later than the answer should have been given up.
   *
   * @return whether the answer is of no use, though it may be whole
   */
  public boolean overdue() {
    return overdue;
  }

  /**
   * Returns what has arrived.
   *
   * @param now milliseconds
   * @return so far
   */
  public Transfer transfer(long now) {
    return new Transfer(now - startMillis, bytes);
  }
}
