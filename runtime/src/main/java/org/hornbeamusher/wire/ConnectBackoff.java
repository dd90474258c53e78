package org.hornbeamusher.wire;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Exponential backoff with jitter: decides how long to wait before the next attempt to connect to a
 * peer, and how long that attempt may take.
 *
 * <p>The delay doubles after each failure up to {@link #MAX_BACKOFF_MILLIS} and is jittered, so
 * that the entries of a whole availability zone do not all connect to a restarting agent at the
 * same moment. The maximum is low because an attempt costs one packet, whereas a peer that is
 * running again but not connected costs requests: after a power failure of all machines, entries
 * that waited 1 s placed all requests of that second on engines whose state they did not know.
 *
 * <p>For the same reason the first connect timeout is short: the SYN packet is lost silently while
 * the peer's machine is still starting, and the operating system retransmits it only after 1 s. The
 * timeout doubles after each failure, so that a peer in another region is reached as well.
 */
final class ConnectBackoff {

  /** Connecting takes one round trip: 6 ms within a region, up to 250 ms between regions. */
  private static final int INITIAL_CONNECT_TIMEOUT_MILLIS = 100;

  private static final long MIN_BACKOFF_MILLIS = 50;
  private static final long MAX_BACKOFF_MILLIS = 200;

  private final int maxConnectTimeoutMillis;
  private long backoffMillis = MIN_BACKOFF_MILLIS;
  private int connectTimeoutMillis = INITIAL_CONNECT_TIMEOUT_MILLIS;

  /**
   * Creates the state of a peer to which no connection was attempted yet.
   *
   * @param maxConnectTimeoutMillis the longest timeout of an attempt
   */
  ConnectBackoff(int maxConnectTimeoutMillis) {
    this.maxConnectTimeoutMillis = maxConnectTimeoutMillis;
  }

  /** Records that an attempt failed or that the peer sent no hello. */
  void failed() {
    backoffMillis = Math.min(backoffMillis * 2, MAX_BACKOFF_MILLIS);
    connectTimeoutMillis = Math.min(connectTimeoutMillis * 2, maxConnectTimeoutMillis);
  }

  /** Records that the peer sent its hello. */
  void succeeded() {
    backoffMillis = MIN_BACKOFF_MILLIS;
    connectTimeoutMillis = INITIAL_CONNECT_TIMEOUT_MILLIS;
  }

  /** Returns the timeout of the next attempt. */
  int connectTimeoutMillis() {
    return Math.min(connectTimeoutMillis, maxConnectTimeoutMillis);
  }

  /** Returns the delay before the next attempt. */
  long retryDelayMillis() {
    return ThreadLocalRandom.current().nextLong(backoffMillis / 2, backoffMillis + 1);
  }
}
