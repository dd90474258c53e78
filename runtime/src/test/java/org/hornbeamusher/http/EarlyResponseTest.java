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
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.failure.HornbeamusherException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers that respond before they have read a long request. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EarlyResponseTest {

  private static final int PLAYS = 5;
  private static final long TIMEOUT_MILLIS = 10_000;

  /** More than the buffers of both sockets hold, so that the request is still being written. */
  private static final int LONG_BODY_BYTES = 24 * 1024 * 1024;

  private static final int REQUEST_HEAD_BYTES = 200;
  private static final String CHUNKED = "4\r\npart\r\n0\r\n\r\n";
  private static final String CLOSED = "CONNECTION_CLOSED";

  /** How the part of the response that is sent is delimited. */
  private enum Framing {
    NONE("HTTP/1.1 200 OK\r\n\r\npart"),
    LENGTH("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\npart"),
    CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");

    private final String response;

    Framing(String response) {
      this.response = response;
    }
  }

  /** What the server does behind the part of the response. */
  private enum End {
    /** Resets the connection. */
    RESET,
    /** Ends its output, then closes while bytes of the request are unread, which is a reset. */
    OUTPUT_THEN_RESET,
    /** Ends its output and reads the whole request. */
    OUTPUT_THEN_READ
  }

  private final HttpClient client = new HttpClient(1);
  private ServerSocket server;

  @BeforeEach
  void start() throws IOException {
    client.start();
    server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws IOException {
    client.stop();
    server.close();
  }

  /** Guards against a part of a response that is complete because its connection was reset. */
  @ParameterizedTest
  @CsvSource({"0,0", "0,1", "0,20", "4000000,0", "4000000,5"})
  void responseWhoseConnectionIsResetFails(int readBytes, long waitMillis) {
    for (Framing framing : Framing.values()) {
      assertResults(CLOSED, framing.response, End.RESET, readBytes, waitMillis);
    }
  }

  /** Guards against an end of output that is a complete response although a reset follows it. */
  @ParameterizedTest
  @CsvSource({"0,0", "0,1", "0,20", "4000000,0", "4000000,5"})
  void responseWhoseConnectionIsResetBehindItsEndFails(int readBytes, long waitMillis) {
    for (Framing framing : Framing.values()) {
      assertResults(CLOSED, framing.response, End.OUTPUT_THEN_RESET, readBytes, waitMillis);
    }
  }

  /** Guards against failing the response of a server that reads the request to its end. */
  @ParameterizedTest
  @ValueSource(ints = {0, 4_000_000})
  void responseOfServerThatReadsTheWholeRequestIsComplete(int readBytes) {
    assertResults("200 part", Framing.NONE.response, End.OUTPUT_THEN_READ, readBytes, 5);
  }

  /** Guards against waiting for the request where the response states its own end. */
  @ParameterizedTest
  @EnumSource(names = {"RESET", "OUTPUT_THEN_RESET", "OUTPUT_THEN_READ"})
  void completeResponseNeedsNoWholeRequest(End end) {
    for (String framing :
        List.of("Content-Length: 4\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n" + CHUNKED)) {
      assertResults("200 part", "HTTP/1.1 200 OK\r\n" + framing, end, 4_000_000, 50);
    }
  }

  private void assertResults(
      String expected, String response, End end, int readBytes, long waitMillis) {
    List<String> results = new ArrayList<>();
    for (int i = 0; i < PLAYS; i++) {
      Thread.ofVirtual().start(() -> serve(response, end, readBytes, waitMillis));
      results.add(send());
    }
    assertEquals(Collections.nCopies(PLAYS, expected), results, response);
  }

  private String send() {
    URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort() + "/x");
    HttpRequest call = new HttpRequest("POST", uri, Map.of(), new byte[LONG_BODY_BYTES]);
    return client
        .send(call, TIMEOUT_MILLIS)
        .handle(
            (done, thrown) ->
                thrown == null
                    ? done.status() + " " + new String(done.body(), StandardCharsets.UTF_8)
                    : HornbeamusherException.from(thrown).type().name())
        .join();
  }

  private void serve(String response, End end, int readBytes, long waitMillis) {
    try (Socket connection = server.accept()) {
      InputStream in = connection.getInputStream();
      in.readNBytes(REQUEST_HEAD_BYTES + readBytes);
      connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
      if (end != End.RESET) {
        connection.shutdownOutput();
      }
      TimeUnit.MILLISECONDS.sleep(waitMillis);
      if (end == End.OUTPUT_THEN_READ) {
        in.transferTo(OutputStream.nullOutputStream());
      } else {
        connection.setSoLinger(true, 0);
      }
    } catch (IOException e) {
      // The client has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
