package org.hornbeamusher.http;

/**
 * Receives a response as it arrives. Called on the connection's I/O thread: a method that blocks
 * delays every exchange of that thread.
 */
public interface HttpStreamListener {

  /**
   * The connection of the exchange is open; called before {@link #shouldSend}.
   *
   * @param connection its use until now
   */
  default void connected(ConnectionUse connection) {}

  /**
   * Decides, immediately before the first byte is written, whether the request is sent.
   *
   * @return false to send nothing; the exchange then fails with {@code SEND_WITHDRAWN}
   */
  default boolean shouldSend() {
    return true;
  }

  /** A part of the request body was written to the connection. */
  default void requestPartSent() {}

  /**
   * The head of the response was received.
   *
   * @param head status and headers
   */
  void head(HttpHead head);

  /**
   * A part of the body was received.
   *
   * @param bytes the part; the listener may keep the array
   */
  void data(byte[] bytes);

  /**
   * Decides, when the response is complete, whether another request may use the connection. What
   * follows a response that does not say which request it answers may be the response to this one.
   *
   * @return false to close the connection
   */
  default boolean mayReuseConnection() {
    return true;
  }

  /** The response is complete. */
  void end();

  /**
   * The exchange failed; no further method is called.
   *
   * @param failure {@code CONNECT_FAILED}, {@code CONNECTIONS_IN_USE} or {@code SEND_WITHDRAWN}
   *     when nothing was sent, {@code RESPONSE_UNBOUNDED} when the response has no end, {@code
   *     RESPONSE_MALFORMED} when it does not follow the protocol, {@code FOREIGN_ANSWER} when what
   *     arrived is no response to the request, otherwise {@code CONNECTION_CLOSED}
   */
  void failed(Throwable failure);
}
