package org.hornbeamusher.settings;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Where a process listens.
 *
 * @param host an address of the instance
 * @param port 0 picks a free one
 * @param tls the keys, or empty for plain connections
 */
public record ListenSettings(String host, int port, Optional<TlsSettings> tls) {

  /**
   * Listens on a free port of the loopback address, without TLS.
   *
   * @return the settings
   */
  public static ListenSettings loopback() {
    return new ListenSettings("127.0.0.1", 0, Optional.empty());
  }

  /**
   * Returns the address to bind.
   *
   * @return the address
   */
  public InetSocketAddress address() {
    return new InetSocketAddress(host, port);
  }
}
