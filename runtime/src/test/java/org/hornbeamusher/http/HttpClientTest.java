package org.hornbeamusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.Undertow;
import io.undertow.io.IoCallback;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.transfer.IncompleteTransferException;
import org.hornbeamusher.transfer.TransferStats;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpClientTest {

  private static final long TIMEOUT_MILLIS = 20_000;
  private static final long RESPONSE_TIMEOUT_MILLIS = 400;
  private static final int PARTS = 20;
  private static final int PART_BYTES = 8 * 1024;
  private static final long PART_MILLIS = 50;

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
                  if (exchange.getRequestPath().equals("/slow")) {
                    exchange.dispatch(() -> sendParts(exchange, PARTS, true));
                    return;
                  }
                  if (exchange.getRequestPath().equals("/half")) {
                    exchange.dispatch(() -> sendParts(exchange, 1, false));
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

  /** Sends parts of a response with pauses, and completes the response if asked to. */
  private static void sendParts(HttpServerExchange exchange, int parts, boolean complete) {
    exchange.startBlocking();
    OutputStream out = exchange.getOutputStream();
    try {
      for (int i = 0; i < parts; i++) {
        out.write(new byte[PART_BYTES]);
        out.flush();
        Thread.sleep(PART_MILLIS);
      }
      if (complete) {
        exchange.endExchange();
      } else {
        Thread.sleep(2 * RESPONSE_TIMEOUT_MILLIS);
      }
    } catch (IOException e) {
      // The client has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void bodiesOfAnySizeAreSentAndReceived() {
    for (int size : new int[] {0, 1, 1_000, 1_000_000}) {
      String body = "x".repeat(size);
      HttpResponse response =
          client
              .send(
                  HttpRequest.postJson(uri("/echo"), body.getBytes(StandardCharsets.UTF_8)),
                  TIMEOUT_MILLIS)
              .join();
      assertEquals("POST " + body, new String(response.body(), StandardCharsets.UTF_8));
    }
  }

  @Test
  void concurrentExchangesReceiveTheirOwnResponses() {
    CompletableFuture<?>[] all = new CompletableFuture<?>[200];
    for (int i = 0; i < all.length; i++) {
      String body = "request " + i;
      all[i] =
          client
              .send(
                  HttpRequest.postJson(uri("/echo"), body.getBytes(StandardCharsets.UTF_8)),
                  TIMEOUT_MILLIS)
              .thenAccept(
                  response ->
                      assertEquals(
                          "POST " + body, new String(response.body(), StandardCharsets.UTF_8)));
    }
    CompletableFuture.allOf(all).join();
  }

  /**
   * Nothing listens at the address. The failure must state that nothing was sent, so that even a
   * request that is not repeatable can be sent elsewhere.
   */
  @Test
  void refusedConnectionHasOutcomeNotRun() {
    URI nowhere = uri("/echo");
    server.stop();
    HornbeamusherException failure = failureOf(HttpRequest.get(nowhere), TIMEOUT_MILLIS);
    assertEquals(FailureType.CONNECT_FAILED, failure.type());
    assertEquals(Outcome.NOT_RUN, failure.outcome());
  }

  /**
   * The server receives the request and never responds. The timeout ends the exchange, and the
   * outcome is unknown because the request may have run.
   */
  @Test
  void missingResponseHasOutcomeUnknown() {
    HornbeamusherException failure = failureOf(HttpRequest.get(uri("/never")), 50);
    assertEquals(FailureType.CONNECTION_CLOSED, failure.type());
    assertEquals(Outcome.UNKNOWN, failure.outcome());
  }

  /**
   * Guards against a timeout on the total time of a response, which would abort a large response
   * over a slow connection.
   */
  @Test
  void largeResponseOverSlowConnectionArrives() {
    HttpResponse response =
        client.send(HttpRequest.get(uri("/slow")), RESPONSE_TIMEOUT_MILLIS).join();
    assertEquals(PARTS * PART_BYTES, response.body().length);
    assertTrue(
        response.transfer().millis() > RESPONSE_TIMEOUT_MILLIS, response.transfer().toString());
    assertEquals(PARTS * PART_BYTES, response.transfer().bytes());
  }

  /** Guards against a failure that does not report how much of the response was received. */
  @Test
  void stalledResponseFailsAndReportsReceivedBytes() {
    HornbeamusherException failure =
        failureOf(HttpRequest.get(uri("/half")), RESPONSE_TIMEOUT_MILLIS);
    assertEquals(FailureType.CONNECTION_CLOSED, failure.type());
    assertEquals(
        Optional.of((long) PART_BYTES),
        IncompleteTransferException.received(failure).map(TransferStats::bytes));
  }

  private HornbeamusherException failureOf(HttpRequest call, long timeoutMillis) {
    return HornbeamusherException.from(
        assertThrows(CompletionException.class, () -> client.send(call, timeoutMillis).join()));
  }

  private URI uri(String path) {
    int port = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    return URI.create("http://127.0.0.1:" + port + path);
  }
}
