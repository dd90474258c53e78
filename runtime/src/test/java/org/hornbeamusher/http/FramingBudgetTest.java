package org.hornbeamusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Servers that each send less than the limit of one connection and never a complete response. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FramingBudgetTest {

  private static final int CAPACITY_BYTES = 256 * 1024;
  private static final int CONNECTIONS = 20;
  private static final int PART_BYTES = 60 * 1024;
  private static final long TIMEOUT_MILLIS = 10_000;
  private static final String HEAD = "HTTP/1.1 200 OK\r\n";
  private static final String HEADER = "a: " + "b".repeat(500) + "\r\n";
  private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String OK = HEAD + "Content-Length: 2\r\n\r\nok";

  /** Guards against a sum of what connections hold that grows with their number. */
  @Test
  void connectionsTogetherStayWithinTheCapacity() {
    FramingBudget budget = new FramingBudget(CAPACITY_BYTES);
    long sum = 0;
    for (int i = 0; i < CONNECTIONS; i++) {
      long held = 0;
      while (held < budget.limitBytes(held)) {
        budget.changed(held, ++held);
      }
      assertTrue(held >= FramingBudget.MIN_BYTES, held + " bytes");
      sum += held;
    }
    long max = CAPACITY_BYTES + (long) CONNECTIONS * FramingBudget.MIN_BYTES;
    assertTrue(sum <= max, sum + " bytes");
  }

  /** Guards against incomplete heads on many connections that fill the memory together. */
  @Test
  void incompleteHeadsOfManyConnectionsAreBoundedTogether() throws Exception {
    assertBounded(HEAD + HEADER.repeat(PART_BYTES / HEADER.length()));
  }

  /** Guards against incomplete trailers on many connections that fill the memory together. */
  @Tag("known-red")
  @Test
  void incompleteTrailersOfManyConnectionsAreBoundedTogether() throws Exception {
    assertBounded(CHUNKED + "0\r\n" + HEADER.repeat(PART_BYTES / HEADER.length()));
  }

  /** Guards against large heads that are no longer counted once they are complete. */
  @Test
  void headsOfUnfinishedResponsesAreBoundedTogether() throws Exception {
    assertBounded(
        HEAD + HEADER.repeat(PART_BYTES / HEADER.length()) + "Content-Length: 9\r\n\r\nbody");
  }

  /** Guards against connections that still count after they were closed or have finished. */
  @Test
  void endedResponsesDoNotCount() throws Exception {
    String large = HEAD + HEADER.repeat(PART_BYTES / HEADER.length());
    for (String response : List.of(OK.replace(HEAD, large), large)) {
      HttpClient client = new HttpClient(1, new FramingBudget(CAPACITY_BYTES));
      client.start();
      try (ServerSocket server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress())) {
        Thread.ofVirtual().start(() -> accept(server, response, true));
        for (int i = 0; i < CONNECTIONS; i++) {
          send(client, server).handle((done, failure) -> null).join();
        }
        awaitNothingHeld(client);
      } finally {
        client.stop();
      }
    }
  }

  /** Waits a little: a connection is closed after its response has failed. */
  private static void awaitNothingHeld(HttpClient client) throws InterruptedException {
    long giveUp = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS / 2);
    while (client.framingBytes() > 0 && System.nanoTime() < giveUp) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
    assertEquals(0, client.framingBytes());
  }

  private static void assertBounded(String part) throws Exception {
    HttpClient client = new HttpClient(1, new FramingBudget(CAPACITY_BYTES));
    client.start();
    try (ServerSocket server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        ServerSocket other = new ServerSocket(0, 64, InetAddress.getLoopbackAddress())) {
      Thread.ofVirtual().start(() -> accept(server, part, false));
      Thread.ofVirtual().start(() -> accept(other, OK, true));
      List<CompletableFuture<HttpResponse>> responses = new ArrayList<>();
      for (int i = 0; i < CONNECTIONS; i++) {
        responses.add(send(client, server));
      }
      int maxOpen = CAPACITY_BYTES / PART_BYTES + 1;
      long giveUp = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS / 2);
      while (open(responses) > maxOpen && System.nanoTime() < giveUp) {
        TimeUnit.MILLISECONDS.sleep(20);
      }
      assertTrue(open(responses) <= maxOpen, open(responses) + " are held");
      assertTrue(client.framingBytes() <= CAPACITY_BYTES, client.framingBytes() + " bytes");
      byte[] body = send(client, other).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).body();
      assertEquals("ok", new String(body, StandardCharsets.US_ASCII));
    } finally {
      client.stop();
    }
  }

  private static long open(List<CompletableFuture<HttpResponse>> responses) {
    return responses.stream().filter(response -> !response.isDone()).count();
  }

  private static CompletableFuture<HttpResponse> send(HttpClient client, ServerSocket server) {
    URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort() + "/");
    return client.send(HttpRequest.get(uri), TIMEOUT_MILLIS);
  }

  private static void accept(ServerSocket server, String response, boolean close) {
    try {
      while (true) {
        Socket connection = server.accept();
        Thread.ofVirtual().start(() -> serve(connection, response, close));
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private static void serve(Socket connection, String response, boolean close) {
    try (connection) {
      connection.getInputStream().read(new byte[4096]);
      connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
      if (!close) {
        connection.getInputStream().read();
      }
    } catch (IOException e) {
      // The client has closed the connection.
    }
  }
}
