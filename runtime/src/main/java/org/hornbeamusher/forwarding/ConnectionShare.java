package org.hornbeamusher.forwarding;

/**
 * This entry's part of the connections that an endpoint accepts from all callers together.
 *
 * <p>Every entry gets the same part, whether it uses it or not: the parts add up to no more than
 * the endpoint accepts without any message between entries. A request that finds its entry's part
 * in use goes to another endpoint; where there is none, it waits until a connection is free, no
 * longer than its aim.
 */
final class ConnectionShare {

  /** For the endpoint's agent and a health check. */
  private static final int RESERVED = 2;

  private ConnectionShare() {}

  /**
   * Returns how many connections an entry may have open.
   *
   * @param accepted from all callers together; 0 where the service states none
   * @param entries how many entries there are
   * @return at least 1
   */
  static int of(int accepted, int entries) {
    if (accepted == 0) {
      return Integer.MAX_VALUE;
    }
    return Math.max(1, (accepted - RESERVED) / Math.max(1, entries));
  }
}
