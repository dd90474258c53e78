package org.hornbeamusher.process;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Optional;
import org.hornbeamusher.security.ReloadingTlsContext;
import org.hornbeamusher.settings.ListenSettings;

/** Serves HTTP or HTTPS at the configured address; reloads TLS keys while it runs. */
public final class HttpListener {

  private static final long TLS_RELOAD_MILLIS = 10_000;

  private final ListenSettings settings;
  private final Undertow.Builder builder;
  private final Optional<ReloadingTlsContext> tls;
  private Undertow server;

  /**
   * Creates a listener without starting it.
   *
   * @param settings its address and TLS files
   * @param builder further options of the server
   */
  public HttpListener(ListenSettings settings, Undertow.Builder builder) {
    this.settings = settings;
    this.builder = builder;
    this.tls =
        settings
            .tls()
            .map(
                files ->
                    ReloadingTlsContext.open(
                        files.certificateFile(),
                        files.privateKeyFile(),
                        files.trustedCertificates()));
  }

  /**
   * Starts listening.
   *
   * @param handler handles every request
   */
  public void start(HttpHandler handler) {
    if (tls.isPresent()) {
      tls.get().start(TLS_RELOAD_MILLIS);
      builder.addHttpsListener(settings.port(), settings.host(), tls.get().context());
    } else {
      builder.addHttpListener(settings.port(), settings.host());
    }
    server = builder.setHandler(handler).build();
    server.start();
  }

  /** Stops listening. */
  public void stop() {
    tls.ifPresent(ReloadingTlsContext::stop);
    server.stop();
  }

  /**
   * Returns the address at which it listens; known once started.
   *
   * @return scheme, host and port
   */
  public URI uri() {
    InetSocketAddress address = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    String scheme = tls.isPresent() ? "https" : "http";
    return URI.create(scheme + "://" + settings.host() + ":" + address.getPort());
  }
}
