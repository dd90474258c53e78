package org.hornbeamusher.wire;

import java.net.InetSocketAddress;

/** Creates the services that connect processes. */
public interface WireTransport {

  /**
   * Creates a service that accepts connections.
   *
   * @param address the address to listen on
   * @param own the hello that this process sends
   * @param listener receives the events of every connection
   * @return the service, not started
   */
  WireService listen(InetSocketAddress address, Message.Hello own, WireListener listener);

  /**
   * Creates a service that keeps one connection to a peer open.
   *
   * @param address the peer's address
   * @param own the hello that this process sends
   * @param listener receives the events of every connection
   * @return the service, not started
   */
  WireService connect(InetSocketAddress address, Message.Hello own, WireListener listener);
}
