package org.hornbeamusher.http;

import java.util.Optional;

/**
 * How an exchange gets its connection.
 *
 * @param connectMillis the timeout for opening a new connection; {@link #NO_TIMEOUT} for none
 * @param maxConnections the maximum number of open connections to the origin, including idle ones;
 *     beyond it the exchange fails with {@code CONNECTIONS_IN_USE}
 * @param reuse whether an idle connection may be used; otherwise one is closed to open a new one
 *     within the maximum
 * @param id the id of the request, if the server repeats it; an idle connection that has carried it
 *     is not used, because a late copy of a response could not be told from the response
 */
public record ConnectionOptions(
    long connectMillis, int maxConnections, boolean reuse, Optional<EchoedId> id) {

  /** Stands for no timeout. */
  public static final long NO_TIMEOUT = -1;

  /** An idle connection, or a new one without a timeout and a maximum. */
  public static final ConnectionOptions ANY =
      new ConnectionOptions(NO_TIMEOUT, Integer.MAX_VALUE, true);

  /** A new connection without a timeout and a maximum. */
  public static final ConnectionOptions NEW =
      new ConnectionOptions(NO_TIMEOUT, Integer.MAX_VALUE, false);

  /**
   * Options for a request without an id.
   *
   * @param connectMillis as for the record
   * @param maxConnections as for the record
   * @param reuse as for the record
   */
  public ConnectionOptions(long connectMillis, int maxConnections, boolean reuse) {
    this(connectMillis, maxConnections, reuse, Optional.empty());
  }
}
