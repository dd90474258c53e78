package org.hornbeamusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Responses with many header lines. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HeaderCountLimitTest {

  private static final long TIMEOUT_MILLIS = 5_000;
  private static final int VALID_HEADERS = 200;

  private final HttpClient client = new HttpClient(1);

  @BeforeEach
  void start() {
    client.start();
  }

  @AfterEach
  void stop() {
    client.stop();
  }

  /** Guards against a head of many short headers that occupies the I/O thread. */
  @Test
  void headOfTooManyLinesFails() throws Exception {
    for (String head : List.of("", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")) {
      Throwable failure = failureOf(head + response(ResponseReader.MAX_LINES + 1, "ok"));
      assertEquals(FailureType.RESPONSE_UNBOUNDED, HornbeamusherException.from(failure).type());
    }
  }

  /** Guards against lines of a body that are taken for lines of the head. */
  @Test
  void bodyOfManyLinesIsReceivedOnEachUseOfTheConnection() throws Exception {
    String body = "\n".repeat(10 * ResponseReader.MAX_LINES);
    try (ServerSocket server = serve(response(VALID_HEADERS, body), 2)) {
      for (int i = 0; i < 2; i++) {
        byte[] received = client.send(call(server), TIMEOUT_MILLIS).get(1, TimeUnit.SECONDS).body();
        assertEquals(body, new String(received, StandardCharsets.US_ASCII));
      }
    }
  }

  private Throwable failureOf(String response) throws Exception {
    CompletableFuture<Throwable> failed = new CompletableFuture<>();
    try (ServerSocket server = serve(response, 1)) {
      client.stream(
          call(server),
          new HttpStreamListener() {
            @Override
            public void head(HttpHead head) {
              failed.complete(new AssertionError("head of " + head.headers().size()));
            }

            @Override
            public void data(byte[] bytes) {}

            @Override
            public void end() {}

            @Override
            public void failed(Throwable failure) {
              failed.complete(failure);
            }
          });
      return failed.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private static HttpRequest call(ServerSocket server) {
    return HttpRequest.get(URI.create("http://127.0.0.1:" + server.getLocalPort() + "/"));
  }

  private static String response(int headers, String body) {
    StringBuilder response = new StringBuilder("HTTP/1.1 200 OK\r\n");
    for (int i = 1; i < headers; i++) {
      response.append("a").append(i).append(": b\r\n");
    }
    return response + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private static ServerSocket serve(String response, int times) throws IOException {
    ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    Thread.ofVirtual()
        .start(
            () -> {
              try (Socket connection = server.accept()) {
                for (int i = 0; i < times; i++) {
                  connection.getInputStream().read(new byte[4096]);
                  connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                }
                connection.getInputStream().read();
              } catch (IOException e) {
                // The client has closed the connection.
              }
            });
    return server;
  }
}
