package org.hornbeamusher.wire;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.function.Supplier;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLServerSocket;

/** Creates the sockets of connections. */
public sealed interface WireSockets {

  /**
   * Creates a listening socket that is not bound.
   *
   * @return the socket
   * @throws IOException when it cannot be created
   */
  default ServerSocket listen() throws IOException {
    return switch (this) {
      case Plain plain -> new ServerSocket();
      case MutualTls tls -> tls.listenTls();
    };
  }

  /**
   * Creates a socket that is not connected.
   *
   * @return the socket
   * @throws IOException when it cannot be created
   */
  default Socket connect() throws IOException {
    return switch (this) {
      case Plain plain -> new Socket();
      case MutualTls tls -> tls.context().get().getSocketFactory().createSocket();
    };
  }

  /** Sockets without encryption and authentication, for loopback and tests. */
  record Plain() implements WireSockets {}

  /**
   * TLS sockets; both peers present a certificate.
   *
   * @param context supplies the current keys, so that they can be replaced without a restart
   */
  record MutualTls(Supplier<SSLContext> context) implements WireSockets {

    private ServerSocket listenTls() throws IOException {
      SSLServerSocket socket =
          (SSLServerSocket) context.get().getServerSocketFactory().createServerSocket();
      socket.setNeedClientAuth(true);
      return socket;
    }
  }
}
