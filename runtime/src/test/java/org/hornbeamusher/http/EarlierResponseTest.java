package org.hornbeamusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.hornbeamusher.clock.MonotonicClock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.transfer.TransferTimeouts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of servers that send a response to an earlier request of a connection once more. */
class EarlierResponseTest {

  private static final long TIMEOUT_MILLIS = 5_000;
  private static final int REQUEST_BYTES = 4 * 1024;
  private static final String ID = "Request-Id";
  private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

  private final HttpClient client = new HttpClient(1);

  /** What the server writes as its next responses, in parts separated by "|". */
  private final BlockingQueue<String> responses = new LinkedBlockingQueue<>();

  /** The number of the connection of each request. */
  private final ConcurrentLinkedQueue<Integer> connections = new ConcurrentLinkedQueue<>();

  private final AtomicInteger opened = new AtomicInteger();
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

  /** Guards against a copy of a refusal that answers the second send of its own request. */
  @Test
  void requestIsNotSentTwiceOverOneConnection() {
    responses.add(response(503, "a", ""));
    responses.add(response(200, "a", "own"));
    responses.add(response(200, "b", "other"));
    assertEquals("", send("a"));
    assertEquals("own", send("a"));
    assertEquals("other", send("b"));
    List<Integer> used = List.copyOf(connections);
    assertEquals(2, used.subList(0, 2).stream().distinct().count(), "connections " + used);
    assertEquals(2, used.stream().distinct().count(), "connections " + used);
  }

  /** Guards against an id that is remembered for a part of a connection's requests only. */
  @Test
  void connectionIsReplacedBeforeItForgetsRequests() {
    int requests = CarriedRequests.MAX_REQUESTS + 1;
    for (int i = 0; i < requests; i++) {
      responses.add(response(200, "id-" + i, ""));
      send("id-" + i);
    }
    assertEquals(
        IntStream.range(0, requests).mapToObj(i -> i / CarriedRequests.MAX_REQUESTS + 1).toList(),
        List.copyOf(connections));
  }

  /** Guards against a request that is given up although its own response follows a copy. */
  @Test
  void copyOfAnEarlierResponseIsSkippedWhereverItIsSplit() {
    String copy = response(503, "a", "refused");
    String own = response(200, "b", "own");
    String both = copy + INTERIM + own;
    for (int split = 1; split < both.length(); split++) {
      responses.add(response(200, "a", "first"));
      responses.add(both.substring(0, split) + "|" + both.substring(split));
      assertEquals("first", send("a"));
      assertEquals("own", send("b"), "split at " + split);
      client.purge(uri());
    }
  }

  /** Guards against a copy whose end is not recognised and that hides the response behind it. */
  @Test
  void copiesOfEveryFramingAreSkipped() {
    responses.add(response(200, "a", "first"));
    responses.add(
        chunked("a", "4;x=y\r\nfour\r\n1\r\n.\r\n0\r\nTrailer: x\r\n\r\n")
            + response(503, "a", "")
            + "HTTP/1.1 204 x\r\n%s: a\r\n\r\n".formatted(ID)
            + response(200, "b", "own"));
    assertEquals("first", send("a"));
    assertEquals("own", send("b"));
  }

  /** Guards against waiting for a response that a server sent under an id of its own making. */
  @Test
  void responseThatNamesNoRequestOfTheConnectionIsPassedOn() {
    responses.add(response(200, "a", "first"));
    responses.add(response(200, "unknown", "foreign"));
    assertEquals("first", send("a"));
    assertEquals("foreign", send("b"));
  }

  /** Guards against a copy without an end that holds a request until its deadline. */
  @Test
  void copyWithoutEndFailsTheRequest() {
    responses.add(response(200, "a", "first"));
    responses.add(chunked("a", "ffffff\r\n" + "x".repeat(2 * ResponseByteLimit.MAX_BYTES)));
    assertEquals("first", send("a"));
    assertEquals("CONNECTION_CLOSED", send("b"));
  }

  /** Guards against a copy whose framing has no end and that fills the memory. */
  @ParameterizedTest
  @ValueSource(strings = {"0", "1;x", "0\r\na: b"})
  void copyWithFramingWithoutEndFailsTheRequest(String begin) {
    responses.add(response(200, "a", "first"));
    String last = begin.substring(begin.length() - 1);
    responses.add(chunked("a", begin + last.repeat(2 * ResponseByteLimit.MAX_BYTES)));
    assertEquals("first", send("a"));
    assertTrue(isUnbounded("b"));
  }

  /** Guards against a head behind a copy that is held without a limit. */
  @Test
  void headWithoutEndBehindCopyFailsTheRequest() {
    responses.add(response(200, "a", "first"));
    responses.add(
        response(503, "a", "")
            + "HTTP/1.1 200 x\r\n"
            + "a: b\r\n".repeat(ResponseByteLimit.MAX_BYTES));
    assertEquals("first", send("a"));
    assertTrue(isUnbounded("b"));
  }

  /** Guards against a copy that ends early and takes the begin of the next response with it. */
  @Test
  void responseBehindCutCopyIsNotTakenForSuccess() {
    responses.add(response(200, "a", "first"));
    responses.add(
        response(503, "a", "refused").replace("refused", "ref") + response(200, "b", "own"));
    assertEquals("first", send("a"));
    assertEquals("CONNECTION_CLOSED", send("b"));
  }

  /** Guards against interim responses without end that are skipped because a copy precedes them. */
  @Test
  @Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
  void interimResponsesWithoutEndBehindCopyFailTheRequest() {
    responses.add(response(200, "a", "first"));
    responses.add(response(503, "a", "") + INTERIM.repeat(ResponseByteLimit.MAX_BYTES / 10));
    assertEquals("first", send("a"));
    assertTrue(isUnbounded("b"));
  }

  /** Guards against a response whose rest was read already and that waits for more bytes. */
  @Test
  void longChunkedResponseBehindCopyArrivesCompletely() {
    String body = "0123456789abcdef".repeat(4_096);
    StringBuilder own = new StringBuilder("HTTP/1.1 200 x\r\n%s: b\r\n".formatted(ID));
    own.append("Transfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < body.length(); i += 16) {
      own.append("10\r\n").append(body, i, i + 16).append("\r\n");
    }
    own.append("0\r\n\r\n");
    for (int split = 1; split < 60; split += 7) {
      responses.add(response(200, "a", "first"));
      responses.add(response(503, "a", "") + own.substring(0, split) + "|" + own.substring(split));
      assertEquals("first", send("a"));
      assertEquals(body, send("b"), "split at " + split);
      client.purge(uri());
    }
  }

  /** Guards against a wait for a response of which a cut copy has taken the begin. */
  @Test
  void requestFailsAtOnceIfNoResponseFollowsCopy() {
    responses.add(response(200, "a", "first"));
    responses.add(response(503, "a", "refused").replace("refused", "r") + "no response");
    assertEquals("first", send("a"));
    assertEquals("CONNECTION_CLOSED", send("b"));
  }

  /** Guards against copies that are counted together and fail the response behind them. */
  @Test
  void severalLongCopiesAreSkipped() {
    String copy = response(200, "a", "x".repeat(ResponseByteLimit.MAX_BYTES / 2));
    responses.add(response(200, "a", "first"));
    responses.add(copy + copy + copy + response(200, "b", "own"));
    assertEquals("first", send("a"));
    assertEquals("own", send("b"));
  }

  /** Guards against a connection that is reused with a copy that arrived with its response. */
  @Test
  void connectionOnWhichMoreThanTheResponseArrivedIsNotReused() {
    responses.add(response(200, "a", "first") + response(503, "a", ""));
    responses.add(response(200, "b", "own"));
    assertEquals("first", send("a"));
    assertEquals("own", send("b"));
    assertEquals(List.of(1, 2), List.copyOf(connections));
  }

  private static String chunked(String id, String body) {
    return "HTTP/1.1 503 x\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%s"
        .formatted(ID, id, body);
  }

  private static String response(int status, String id, String body) {
    return "HTTP/1.1 %d x\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s"
        .formatted(status, ID, id, body.length(), body);
  }

  /** Returns the body of the response, or the type of the failure. */
  private String send(String id) {
    return responseTo(id)
        .handle(
            (done, failure) ->
                failure == null
                    ? new String(done.body(), StandardCharsets.US_ASCII)
                    : HornbeamusherException.from(failure).type().toString())
        .join();
  }

  /** Sends a request; returns whether it fails because its response has no end. */
  private boolean isUnbounded(String id) {
    Throwable cause = responseTo(id).handle((done, failure) -> failure).join();
    while (cause != null) {
      if (cause instanceof HornbeamusherException typed
          && typed.type() == FailureType.RESPONSE_UNBOUNDED) {
        return true;
      }
      cause = cause.getCause();
    }
    return false;
  }

  private CompletableFuture<HttpResponse> responseTo(String id) {
    HttpRequest call =
        new HttpRequest("POST", uri(), "h", "/x", List.of(new HttpHeader(ID, id)), new byte[1]);
    TransferTimeouts limits = new TransferTimeouts(TIMEOUT_MILLIS, TIMEOUT_MILLIS);
    ResponseCollector collector =
        new ResponseCollector(uri(), limits, REQUEST_BYTES * 16, true, MonotonicClock.INSTANCE);
    ConnectionOptions options =
        new ConnectionOptions(
            ConnectionOptions.NO_TIMEOUT, Integer.MAX_VALUE, true, EchoedId.of(ID, id));
    client.stream(call, collector, options);
    return collector.future();
  }

  private URI uri() {
    return URI.create("http://127.0.0.1:" + server.getLocalPort() + "/x");
  }

  private void accept() {
    try {
      while (true) {
        Socket connection = server.accept();
        int number = opened.incrementAndGet();
        Thread.ofVirtual().start(() -> serve(connection, number));
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private void serve(Socket connection, int number) {
    try (connection) {
      connection.setTcpNoDelay(true);
      InputStream in = connection.getInputStream();
      OutputStream out = connection.getOutputStream();
      byte[] request = new byte[REQUEST_BYTES];
      while (in.read(request) > 0) {
        connections.add(number);
        for (String part : responses.take().split("\\|")) {
          out.write(part.getBytes(StandardCharsets.US_ASCII));
          Thread.sleep(2);
        }
      }
    } catch (IOException e) {
      // The client has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
