package org.hornbeamusher.wire;

/**
 * One connection between two processes.
 *
 * <p>What may be under way is bounded: a peer that stops reading costs the connection, not memory.
 * Something between the ends may lose track of a connection, and then neither end hears of it while
 * new connections work. Both ends therefore send heartbeats, and an end that hears nothing for
 * {@link WireSettings#heartbeatTimeoutMillis} closes the connection.
 */
public interface WireConnection {

  /**
   * Sends a message.
   *
   * @param message what to send
   * @return false when it was certainly not sent; what was taken may still not arrive
   */
  boolean send(Message message);

  /**
   * Returns what the peer said of itself.
   *
   * @return its hello, or null before it came
   */
  Message.Hello peer();

  /**
   * Tells whether messages can be sent.
   *
   * @return false once the connection ended
   */
  boolean isOpen();

  /**
   * Returns whether a large message is arriving. Until it is whole, an answer that is behind it or
   * is the message itself cannot be here.
   *
   * @return whether part of one is here and more has come lately
   */
  boolean receivingLargeMessage();

  /** Closes the connection; the listener hears of it. */
  void close();
}
