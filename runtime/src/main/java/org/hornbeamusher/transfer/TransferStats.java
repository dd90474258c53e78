package org.hornbeamusher.transfer;

/**
 * Duration and size of a response, or of its received part if it is incomplete.
 *
 * @param millis time since the request was sent
 * @param bytes received bytes of the response body
 */
public record TransferStats(long millis, long bytes) {

  /** No time and no bytes. */
  public static final TransferStats NONE = new TransferStats(0, 0);

  /**
   * Adds a transfer that started after the end of this one.
   *
   * @param next the later transfer
   * @return total duration and size
   */
  public TransferStats plus(TransferStats next) {
    return new TransferStats(millis + next.millis, bytes + next.bytes);
  }
}
