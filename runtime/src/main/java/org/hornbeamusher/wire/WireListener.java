package org.hornbeamusher.wire;

import org.hornbeamusher.failure.HornbeamusherException;

/** Hears what happens on a connection. Called by one thread at a time for each connection. */
public interface WireListener {

  /**
   * The peer introduced itself; messages may be sent.
   *
   * @param connection the connection
   * @param peer what the peer said of itself
   */
  void opened(WireConnection connection, Message.Hello peer);

  /**
   * A message arrived.
   *
   * @param connection the connection
   * @param message the message, never a hello, heartbeat or unknown one
   */
  void received(WireConnection connection, Message message);

  /**
   * The connection ended; heard once, also when the peer never introduced itself.
   *
   * @param connection the connection
   * @param reason why
   */
  void closed(WireConnection connection, HornbeamusherException reason);

  /**
   * Gives the digest of documents that the next heartbeat carries.
   *
   * @return a hash; 0 when this process holds none
   */
  default long documentDigest() {
    return 0;
  }

  /**
   * The peer's heartbeat arrived.
   *
   * @param connection the connection
   * @param digest the peer's digest of documents
   */
  default void heartbeatReceived(WireConnection connection, long digest) {}
}
