package org.hornbeamusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CutHeadTest {

  private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  private static final String FINAL = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
  private static final String BODY = "body";
  private static final long TIMEOUT_MILLIS = 5_000;
  private static final int REQUEST_BYTES = 4 * 1024;

  private final HttpClient client = new HttpClient(1);

  /** What the server writes as its next responses; it closes the connection after a cut one. */
  private final BlockingQueue<String> responses = new LinkedBlockingQueue<>();

  private ServerSocket server;

  @BeforeEach
  void start() throws IOException {
    client.start();
    server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  @AfterEach
  void stop() throws IOException {
    client.stop();
    server.close();
  }

  /** Guards against a response that ends in its head and is taken for a complete one. */
  @Test
  void responseThatEndsInItsHeadFails() {
    for (int end = 0; end < FINAL.length(); end++) {
      assertEquals(FailureType.CONNECTION_CLOSED, failure(FINAL.substring(0, end)));
    }
  }

  /** Guards against an interim response that is taken for the final one. */
  @Test
  void interimResponseIsNotFinal() {
    String whole = INTERIM + FINAL + BODY;
    for (int end = 0; end < whole.length(); end++) {
      assertEquals(
          FailureType.CONNECTION_CLOSED, failure(whole.substring(0, end)), "cut at " + end);
    }
    for (int split = 0; split <= whole.length(); split++) {
      responses.add(whole.substring(0, split) + "|" + whole.substring(split));
      HttpResponse response = send();
      assertEquals(200, response.status(), "split at " + split);
      assertEquals(BODY, new String(response.body(), StandardCharsets.US_ASCII));
    }
  }

  /** Guards against the final response after an interim one that answers the next request. */
  @Test
  void nextRequestOnTheConnectionGetsItsOwnResponse() {
    responses.add(INTERIM + INTERIM + FINAL + "one!");
    responses.add(INTERIM + FINAL + "two!");
    assertEquals("one!", new String(send().body(), StandardCharsets.US_ASCII));
    assertEquals("two!", new String(send().body(), StandardCharsets.US_ASCII));
  }

  /** Guards against a switch of protocols that nobody asked for and that looks like a response. */
  @Test
  void unrequestedUpgradeFails() {
    assertEquals(
        FailureType.RESPONSE_MALFORMED,
        failure("HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"));
  }

  private FailureType failure(String written) {
    responses.add(written);
    return client
        .send(call(), TIMEOUT_MILLIS)
        .handle((response, failure) -> HornbeamusherException.from(failure).type())
        .join();
  }

  private HttpResponse send() {
    return client.send(call(), TIMEOUT_MILLIS).join();
  }

  private HttpRequest call() {
    URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort() + "/x");
    return new HttpRequest("POST", uri, Map.of(), new byte[1]);
  }

  private void accept() {
    try {
      while (true) {
        Socket connection = server.accept();
        Thread.ofVirtual().start(() -> serve(connection));
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      connection.setTcpNoDelay(true);
      InputStream in = connection.getInputStream();
      OutputStream out = connection.getOutputStream();
      byte[] request = new byte[REQUEST_BYTES];
      boolean complete = true;
      while (complete && in.read(request) > 0) {
        String response = responses.take();
        for (String part : response.split("\\|")) {
          out.write(part.getBytes(StandardCharsets.US_ASCII));
          Thread.sleep(response.contains("|") ? 5 : 0);
        }
        complete = isWhole(response);
      }
    } catch (IOException e) {
      // The client has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static boolean isWhole(String response) {
    String written = response.replace("|", "");
    return written.contains(FINAL)
        && written.length() - written.indexOf(FINAL) - FINAL.length() == BODY.length();
  }
}
