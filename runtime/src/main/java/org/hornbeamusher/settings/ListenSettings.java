package org.hornbeamusher.settings;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Address and TLS settings of a listener.
 *
 * @param host an address of the instance
 * @param port the port; 0 for any free one
 * @param tls the TLS files; empty for plaintext connections
 */
public record ListenSettings(String host, int port, Optional<TlsSettings> tls) {

  /**
   * Returns settings for a free port of the loopback address, without TLS.
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
