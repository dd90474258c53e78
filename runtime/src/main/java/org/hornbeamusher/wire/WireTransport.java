package org.hornbeamusher.wire;

import java.net.InetSocketAddress;

/** Makes connections between processes. */
public interface WireTransport {

  /**
   * Makes a service that accepts connections.
   *
   * @param address where it listens
   * @param own what this process says of itself
   * @param listener hears what happens on every connection
   * @return the service, not started
   */
  WireService listen(InetSocketAddress address, Message.Hello own, WireListener listener);

  /**
   * Makes a service that keeps one connection to a peer.
   *
   * @param address the peer's address
   * @param own what this process says of itself
   * @param listener hears what happens on every connection
   * @return the service, not started
   */
  WireService connect(InetSocketAddress address, Message.Hello own, WireListener listener);
}
