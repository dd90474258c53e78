package org.hornbeamusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.undertow.Undertow;
import io.undertow.io.IoCallback;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpClientTest {

  private static final long TIMEOUT_MILLIS = 20_000;

  private final HttpClient client = new HttpClient(2);
  private Undertow server;

  @BeforeEach
  void start() {
    client.start();
    server =
        Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setHandler(
                exchange -> {
                  if (exchange.getRequestPath().equals("/never")) {
                    exchange.dispatch(() -> {});
                    return;
                  }
                  exchange
                      .getRequestReceiver()
                      .receiveFullBytes(
                          (e, bytes) ->
                              e.getResponseSender()
                                  .send(
                                      e.getRequestMethod()
                                          + " "
                                          + new String(bytes, StandardCharsets.UTF_8),
                                      IoCallback.END_EXCHANGE));
                })
            .build();
    server.start();
  }

  @AfterEach
  void stop() {
    client.stop();
    server.stop();
  }

  @Test
  void bodiesOfAnySizeArriveAndReturn() {
    for (int size : new int[] {0, 1, 1_000, 1_000_000}) {
      String body = "x".repeat(size);
      HttpReply reply =
          client
              .send(
                  HttpCall.postJson(uri("/echo"), body.getBytes(StandardCharsets.UTF_8)),
                  TIMEOUT_MILLIS)
              .join();
      assertEquals("POST " + body, new String(reply.body(), StandardCharsets.UTF_8));
    }
  }

  @Test
  void manyExchangesAtOnceGetTheirOwnAnswers() {
    CompletableFuture<?>[] all = new CompletableFuture<?>[200];
    for (int i = 0; i < all.length; i++) {
      String body = "request " + i;
      all[i] =
          client
              .send(
                  HttpCall.postJson(uri("/echo"), body.getBytes(StandardCharsets.UTF_8)),
                  TIMEOUT_MILLIS)
              .thenAccept(
                  reply ->
                      assertEquals(
                          "POST " + body, new String(reply.body(), StandardCharsets.UTF_8)));
    }
    CompletableFuture.allOf(all).join();
  }

  /**
   * Nothing listens at the address. The caller of the client must learn that nothing was sent, so
   * that even a request that may not be repeated can go elsewhere.
   */
  @Test
  void refusedConnectionsAreNotRun() {
    URI nowhere = uri("/echo");
    server.stop();
    HornbeamusherException failure = failureOf(HttpCall.get(nowhere), TIMEOUT_MILLIS);
    assertEquals(FailureType.CONNECT_FAILED, failure.type());
    assertEquals(Outcome.NOT_RUN, failure.outcome());
  }

  /**
   * The server takes the request and never answers. The timeout ends the exchange, and since the
   * request may have been acted on, the outcome is unknown.
   */
  @Test
  void missingAnswersAreUnknown() {
    HornbeamusherException failure = failureOf(HttpCall.get(uri("/never")), 50);
    assertEquals(FailureType.CONNECTION_CLOSED, failure.type());
    assertEquals(Outcome.UNKNOWN, failure.outcome());
  }

  private HornbeamusherException failureOf(HttpCall call, long timeoutMillis) {
    return HornbeamusherException.from(
        assertThrows(CompletionException.class, () -> client.send(call, timeoutMillis).join()));
  }

  private URI uri(String path) {
    int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    return URI.create("http://127.0.0.1:" + port + path);
  }
}
