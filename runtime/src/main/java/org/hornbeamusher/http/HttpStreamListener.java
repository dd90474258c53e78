package org.hornbeamusher.http;

/**
 * Receives a response as it arrives. Called on the connection's I/O thread: a method that blocks
 * holds up every exchange of that thread.
 */
public interface HttpStreamListener {

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
   * @param failure {@code CONNECT_FAILED} when nothing was sent, {@code CONNECTION_CLOSED} after
   */
  void failed(Throwable failure);
}
