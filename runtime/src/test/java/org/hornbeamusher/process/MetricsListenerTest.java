package org.hornbeamusher.process;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpRequest;
import org.junit.jupiter.api.Test;

class MetricsListenerTest {

  private static final long TIMEOUT_MILLIS = 5_000;

  @Test
  void countersAreServedAsText() throws IOException {
    MetricRegistry registry = new MetricRegistry();
    registry.counter("entry.requests.answered").inc(3);
    HttpClient client = new HttpClient(1);
    client.start();
    int port = freePort();
    MetricsListener listener =
        new MetricsListener(new InetSocketAddress("127.0.0.1", port), client.worker(), registry);
    listener.start();
    byte[] body =
        client
            .send(
                HttpRequest.get(URI.create("http://127.0.0.1:" + port + "/metrics")),
                TIMEOUT_MILLIS)
            .join()
            .body();
    listener.stop();
    client.stop();
    String text = new String(body, StandardCharsets.UTF_8);
    assertTrue(text.contains("entry_requests_answered 3.0"), text);
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }
}
