package org.hornbeamusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.undertow.Undertow;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the limit on open connections to one server. */
class ConnectionLimitTest {

  private static final long CONNECT_MILLIS = 2_000;
  private static final ConnectionOptions OPTIONS = new ConnectionOptions(CONNECT_MILLIS, 1, true);
  private static final int MAX_TRIES = 200;

  private final HttpClient client = new HttpClient(1);
  private final Undertow server =
      Undertow.builder()
          .addHttpListener(0, "127.0.0.1")
          .setHandler(
              exchange -> {
                if (exchange.getRequestPath().equals("/hang")) {
                  exchange.dispatch(() -> {});
                } else {
                  exchange.endExchange();
                }
              })
          .build();

  @BeforeEach
  void start() {
    server.start();
    client.start();
  }

  @AfterEach
  void stop() {
    client.stop();
    server.stop();
  }

  /** Guards against connections that count as open long after their exchanges have given up. */
  @Test
  void connectionThatWasNotOpenedInTimeDoesNotCount() throws Exception {
    ConnectionOptions options = new ConnectionOptions(100, 2, true);
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      List<Socket> waiting = new ArrayList<>();
      for (int i = 0; i < 2; i++) {
        waiting.add(new Socket(full.getInetAddress(), full.getLocalPort()));
      }
      HttpRequest call =
          HttpRequest.get(URI.create("http://127.0.0.1:" + full.getLocalPort() + "/"));
      for (int i = 0; i < 6; i++) {
        OutcomeListener listener = new OutcomeListener();
        client.stream(call, listener, options);
        assertEquals("CONNECT_FAILED", listener.result.get(2, TimeUnit.SECONDS));
      }
      for (Socket socket : waiting) {
        socket.close();
      }
    }
  }

  /**
   * Guards against a burst that opens more connections than the server accepts; the server resets
   * the others.
   */
  @Test
  void exchangeBeyondTheLimitFailsUnsentUntilAnotherEnds() throws Exception {
    HttpStream hanging = client.stream(call("/hang"), new OutcomeListener(), OPTIONS);
    assertEquals("CONNECTIONS_IN_USE", outcome("/"));
    hanging.cancel();
    assertEquals("answered", eventually("answered"));
  }

  /** Guards against a limit that does not count idle connections. */
  @Test
  void idleConnectionCountsAndIsUsedAgain() throws Exception {
    assertEquals("answered", outcome("/"));
    HttpStream hanging = client.stream(call("/hang"), new OutcomeListener(), OPTIONS);
    assertEquals("CONNECTIONS_IN_USE", outcome("/"));
    hanging.cancel();
  }

  /** Guards against counting failed connections forever. */
  @Test
  void failedConnectIsNotCounted() throws Exception {
    server.stop();
    URI gone = URI.create("http://127.0.0.1:1/");
    for (int i = 0; i < 2; i++) {
      OutcomeListener outcome = new OutcomeListener();
      client.stream(HttpRequest.get(gone), outcome, OPTIONS);
      assertEquals("CONNECT_FAILED", outcome.result.get(CONNECT_MILLIS, TimeUnit.MILLISECONDS));
    }
  }

  private String eventually(String expected) throws Exception {
    String last = "";
    for (int i = 0; i < MAX_TRIES && !last.equals(expected); i++) {
      TimeUnit.MILLISECONDS.sleep(10);
      last = outcome("/");
    }
    return last;
  }

  private String outcome(String path) throws Exception {
    OutcomeListener outcome = new OutcomeListener();
    client.stream(call(path), outcome, OPTIONS);
    return outcome.result.get(CONNECT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private HttpRequest call(String path) {
    InetSocketAddress bound = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    return HttpRequest.get(URI.create("http://127.0.0.1:" + bound.getPort() + path));
  }

  private static final class OutcomeListener implements HttpStreamListener {

    private final CompletableFuture<String> result = new CompletableFuture<>();

    @Override
    public void head(HttpHead head) {}

    @Override
    public void data(byte[] bytes) {}

    @Override
    public void end() {
      result.complete("answered");
    }

    @Override
    public void failed(Throwable failure) {
      FailureType type = HornbeamusherException.from(failure).type();
      result.complete(type.name());
    }
  }
}
