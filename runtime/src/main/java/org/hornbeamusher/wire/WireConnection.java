package org.hornbeamusher.wire;

/**
 * One connection between two processes.
 *
 * <p>The unsent messages are bounded: when the peer stops reading, the connection is closed instead
 * of letting memory grow. A network device between the peers may drop its state of a connection
 * without notifying either of them, while new connections work. Both peers therefore send
 * heartbeats, and a peer that receives nothing for {@link WireSettings#heartbeatTimeoutMillis}
 * closes the connection.
 */
public interface WireConnection {

  /**
   * Sends a message.
   *
   * @param message the message
   * @return false when it was certainly not sent; an accepted message may still be lost
   */
  boolean send(Message message);

  /**
   * Returns the hello of the peer.
   *
   * @return null before it was received
   */
  Message.Hello peer();

  /**
   * Returns whether messages can be sent.
   *
   * @return false once the connection is closed
   */
  boolean isOpen();

  /**
   * Returns whether a large message is being received. Until it is complete, neither a response in
   * that message nor one queued behind it can have arrived.
   *
   * @return true when part of such a message was received, and more bytes arrived recently
   */
  boolean receivingLargeMessage();

  /** Closes the connection; the listener is notified. */
  void close();
}
