package org.hornbeamusher.wire;

import org.hornbeamusher.failure.HornbeamusherException;

/** Receives the events of a connection. Called by one thread at a time for each connection. */
public interface WireListener {

  /**
   * The peer's hello was received; messages may be sent.
   *
   * @param connection the connection
   * @param peer the hello of the peer
   */
  void opened(WireConnection connection, Message.Hello peer);

  /**
   * A message was received.
   *
   * @param connection the connection
   * @param message the message; never a hello, a heartbeat or a message of unknown type
   */
  void received(WireConnection connection, Message message);

  /**
   * The connection was closed. Called once, even if the peer never sent its hello.
   *
   * @param connection the connection
   * @param reason the failure that closed it
   */
  void closed(WireConnection connection, HornbeamusherException reason);

  /**
   * Returns the digest of documents that the next heartbeat carries.
   *
   * @return a hash; 0 when this process has no documents
   */
  default long documentDigest() {
    return 0;
  }

  /**
   * A heartbeat of the peer was received.
   *
   * @param connection the connection
   * @param digest the peer's digest of documents
   */
  default void heartbeatReceived(WireConnection connection, long digest) {}
}
