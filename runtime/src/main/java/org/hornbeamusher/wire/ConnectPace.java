package org.hornbeamusher.wire;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Decides how soon a connection is tried again, and how long a try may take.
 *
 * <p>Tries back off up to {@link #MAX_BACKOFF_MILLIS} with jitter, so that the entries of a whole
 * zone do not all knock at a restarting agent in the same moment. The bound is low because a try
 * costs a packet, and a peer that is back and not connected costs requests: when everything lost
 * power at once, entries that waited a second placed all of that second's requests on engines of
 * which they knew nothing. For the same reason the first try is given up soon: the packet that
 * opens it is lost without a word when the peer's machine is still starting, and the system sends
 * it again only after a second. Each further try may take twice as long, so that a peer in another
 * region is reached as well.
 */
final class ConnectPace {

  /** Opening a connection takes one round trip: 6 ms within a region, up to 250 between regions. */
  private static final int FIRST_CONNECT_MILLIS = 100;

  private static final long MIN_BACKOFF_MILLIS = 50;
  private static final long MAX_BACKOFF_MILLIS = 200;

  private final int mostMillis;
  private long backoffMillis = MIN_BACKOFF_MILLIS;
  private int patienceMillis = FIRST_CONNECT_MILLIS;

  /**
   * Creates the pace of a peer that was not tried yet.
   *
   * @param mostMillis how long a try may take at the most
   */
  ConnectPace(int mostMillis) {
    this.mostMillis = mostMillis;
  }

  /** A try failed, or the peer did not introduce itself. */
  void failed() {
    backoffMillis = Math.min(backoffMillis * 2, MAX_BACKOFF_MILLIS);
    patienceMillis = Math.min(patienceMillis * 2, mostMillis);
  }

  /** The peer introduced itself. */
  void succeeded() {
    backoffMillis = MIN_BACKOFF_MILLIS;
    patienceMillis = FIRST_CONNECT_MILLIS;
  }

  /** Returns how long the next try may take. */
  int patienceMillis() {
    return Math.min(patienceMillis, mostMillis);
  }

  /** Returns the pause before the next try. */
  long pauseMillis() {
    return ThreadLocalRandom.current().nextLong(backoffMillis / 2, backoffMillis + 1);
  }
}
