package org.hornbeamusher.http;

/**
 * Receives a response as it arrives. Called on the connection's I/O thread: a method that blocks
 * holds up every exchange of that thread.
 */
public interface HttpStreamListener {

  /**
   * Decides right before the first byte is written whether the request is sent.
   *
   * @return false to send nothing; the exchange then fails with {@code SEND_WITHDRAWN}
   */
  default boolean shouldSend() {
    return true;
  }

  /** The connection has taken a part of the request's body. */
  default void requestPartSent() {}

  /**
   * The response begins.
   *
   * @param head status and headers
   */
  void head(HttpHead head);

  /**
   * A part of the content arrived.
   *
   * @param bytes the part; the listener may keep it
   */
  void data(byte[] bytes);

  /** The content is whole. */
  void end();

  /**
   * The exchange failed; nothing follows.
   *
   * @param failure {@code CONNECT_FAILED}, {@code CONNECTIONS_IN_USE} or {@code SEND_WITHDRAWN}
   *     when nothing was sent, {@code CONNECTION_CLOSED} after
   */
  void failed(Throwable failure);
}
