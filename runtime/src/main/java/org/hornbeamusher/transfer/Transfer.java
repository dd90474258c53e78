package org.hornbeamusher.transfer;

/**
 * What an answer has taken, or what had arrived of it when it failed.
 *
 * @param millis from the moment at which the question was sent
 * @param bytes of the answer's body
 */
public record Transfer(long millis, long bytes) {

  /** Nothing was received. */
  public static final Transfer NONE = new Transfer(0, 0);

  /**
   * Adds a transfer that began when this one had ended.
   *
   * @param next the later one
   * @return both
   */
  public Transfer and(Transfer next) {
    return new Transfer(millis + next.millis, bytes + next.bytes);
  }
}
