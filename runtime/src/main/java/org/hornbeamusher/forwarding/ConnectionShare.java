package org.hornbeamusher.forwarding;

/**
 * Divides the connections that an endpoint accepts from all callers together evenly among entries.
 *
 * <p>Every entry has the same share, whether it uses it or not. The shares add up to no more than
 * the endpoint accepts, without any message between entries. If all connections of an entry's share
 * are in use, a request goes to another endpoint; if there is none, it waits for a free connection,
 * no longer than its target latency.
 */
final class ConnectionShare {

  /** Connections reserved for the endpoint's agent and a health check. */
  private static final int RESERVED_CONNECTIONS = 2;

  private ConnectionShare() {}

  /**
   * Returns how many connections an entry may have open.
   *
   * @param accepted limit for all callers together; 0 if the service has no limit
   * @param entries number of entries
   * @return at least 1
   */
  static int of(int accepted, int entries) {
    if (accepted == 0) {
      return Integer.MAX_VALUE;
    }
    return Math.max(1, (accepted - RESERVED_CONNECTIONS) / Math.max(1, entries));
  }
}
