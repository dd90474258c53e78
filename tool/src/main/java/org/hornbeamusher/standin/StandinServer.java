package org.hornbeamusher.standin;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;
import java.net.URI;

/** HTTP server of one stand-in. */
final class StandinServer {

  private static final int IO_THREADS = 2;

  private final String host;
  private final Undertow server;

  StandinServer(String host, int port, HttpHandler handler) {
    this.host = host;
    this.server =
        Undertow.builder()
            .addHttpListener(port, host)
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(1)
            .setHandler(handler)
            .build();
  }

  void start() {
    server.start();
  }

  void stop() {
    server.stop();
  }

  URI uri() {
    InetSocketAddress address =
        (InetSocketAddress) server.getListenerInfo().getFirst().getAddress();
    return URI.create("http://" + host + ":" + address.getPort());
  }
}
