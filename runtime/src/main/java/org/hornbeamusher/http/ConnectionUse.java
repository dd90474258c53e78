package org.hornbeamusher.http;

/**
 * The use of a connection when a request is sent on it.
 *
 * @param number the number of the connection, unique in this process; 0 if none is open
 * @param earlierRequests the number of requests that were sent on it before
 * @param ageMillis the time since it was opened
 */
public record ConnectionUse(long number, int earlierRequests, long ageMillis) {

  /** Stands for a connection that is not open. */
  public static final ConnectionUse NONE = new ConnectionUse(0, 0, 0);

  /**
   * Returns whether no other request was sent on the connection before, so that every response on
   * it belongs to this request.
   *
   * @return whether it is the first request on its connection
   */
  public boolean isFirst() {
    return earlierRequests == 0;
  }
}
