package org.hornbeamusher.http;

import java.util.Map;

/**
 * Receives a response as it arrives. Called on the connection's I/O thread: a method that blocks
 * holds up every exchange of that thread.
 */
public interface HttpStreamListener {

  /**
   * The response begins.
   *
   * @param status the status code
   * @param headers the first value of each header, by lower-case name
   */
  void head(int status, Map<String, String> headers);

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
