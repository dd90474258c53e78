package org.hornbeamusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.hornbeamusher.clock.MonotonicClock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.transfer.TransferTimeouts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Servers that send without end, as fast as the connection takes it, until the client closes. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EndlessResponseTest {

  private static final long TIMEOUT_MILLIS = 2_000;

  /** A collected body of the maximum length in chunks of one byte, and what sockets buffer. */
  private static final long MAX_SENT_BYTES = 24L * 1024 * 1024;

  private static final String HEAD = "HTTP/1.1 200 OK\r\n";
  private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

  /** Where the response has no end: what is sent once, and what is repeated. */
  private enum Endless {
    STATUS_LINE("HTTP/1.1 200 ", "O"),
    NO_RESPONSE("", "x", FailureType.RESPONSE_MALFORMED),
    HEADER_NAME(HEAD, "a"),
    HEADER_VALUE(HEAD + "a: ", "b"),
    HEADERS(HEAD, "a: b\r\n"),
    CONTINUE_RESPONSES("", "HTTP/1.1 100 Continue\r\n\r\n"),
    CHUNK_SIZE(CHUNKED, "0"),
    CHUNK_EXTENSION(CHUNKED + "1;", "x"),
    TRAILERS(CHUNKED + "0\r\n", "a: b\r\n"),
    CHUNKS(CHUNKED, "1\r\na\r\n"),
    BODY_UNTIL_CLOSE(HEAD + "Connection: close\r\n\r\n", "a"),
    BODY_OF_STATED_LENGTH(HEAD + "Content-Length: 999999999999\r\n\r\n", "a");

    private final String once;
    private final String repeated;
    private final FailureType failure;

    Endless(String once, String repeated) {
      this(once, repeated, FailureType.CONNECTION_CLOSED);
    }

    Endless(String once, String repeated, FailureType failure) {
      this.once = once;
      this.repeated = repeated;
      this.failure = failure;
    }
  }

  private final HttpClient client = new HttpClient(1);

  @BeforeEach
  void start() {
    client.start();
  }

  @AfterEach
  void stop() {
    client.stop();
  }

  /** Guards against responses that fill the memory or keep the only I/O thread for themselves. */
  @ParameterizedTest
  @EnumSource
  void responseWithoutEndFailsAndDelaysNoOther(Endless endless) throws Exception {
    try (Server server = new Server(endless.once, endless.repeated);
        Server other = new Server(HEAD + "Content-Length: 2\r\n\r\nok", "")) {
      CompletableFuture<HttpResponse> response = client.send(server.call(), TIMEOUT_MILLIS);
      server.sending.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      HttpResponse beside = client.send(other.call(), TIMEOUT_MILLIS).get(1, TimeUnit.SECONDS);
      assertEquals("ok", new String(beside.body(), StandardCharsets.US_ASCII));
      CompletionException failure = assertThrows(CompletionException.class, response::join);
      HornbeamusherException typed =
          assertInstanceOf(HornbeamusherException.class, failure.getCause());
      assertEquals(endless.failure, typed.type());
      server.closed.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      assertTrue(server.sent.get() < MAX_SENT_BYTES, server.sent + " bytes were sent");
    }
  }

  /**
   * Guards against a response without end that looks like a lost connection to on-call engineers.
   */
  @Test
  void failureTellsThatTheResponseHasNoEnd() throws Exception {
    try (Server server = new Server(Endless.STATUS_LINE.once, Endless.STATUS_LINE.repeated)) {
      CompletableFuture<Throwable> failed = new CompletableFuture<>();
      client.stream(server.call(), new FailureListener(failed));
      HornbeamusherException failure =
          assertInstanceOf(
              HornbeamusherException.class, failed.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
      assertEquals(FailureType.RESPONSE_UNBOUNDED, failure.type());
    }
  }

  private record FailureListener(CompletableFuture<Throwable> failed)
      implements HttpStreamListener {

    @Override
    public void head(HttpHead head) {}

    @Override
    public void data(byte[] bytes) {}

    @Override
    public void end() {}

    @Override
    public void failed(Throwable failure) {
      failed.complete(failure);
    }
  }

  /** Guards against bytes after a complete response that are kept or read as the next response. */
  @Test
  void bytesAfterCompleteResponseCloseTheConnection() throws Exception {
    try (Server server = new Server(HEAD + "Content-Length: 2\r\n\r\nok", "x")) {
      HttpResponse response = client.send(server.call(), TIMEOUT_MILLIS).get(1, TimeUnit.SECONDS);
      assertEquals("ok", new String(response.body(), StandardCharsets.US_ASCII));
      server.closed.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      assertTrue(server.sent.get() < MAX_SENT_BYTES, server.sent + " bytes were sent");
    }
  }

  /** What a server sends without end before it has read a request, or after a response. */
  private enum Unrequested {
    NO_RESPONSE("", "x"),
    RESPONSES("", HEAD + "Content-Length: 0\r\n\r\n"),
    INTERIM_RESPONSES("", "HTTP/1.1 103 x\r\n\r\n"),
    INTERIM_HEAD("HTTP/1.1 103 x\r\n", "a: b\r\n");

    private final String once;
    private final String repeated;

    Unrequested(String once, String repeated) {
      this.once = once;
      this.repeated = repeated;
    }
  }

  /** Guards against a server that fills the memory before it has read a request. */
  @ParameterizedTest
  @EnumSource
  void bytesBeforeTheRequestCloseTheConnection(Unrequested endless) throws Exception {
    try (Server server = new Server(SendsAfter.CONNECT, endless.once, endless.repeated);
        Server other = new Server(HEAD + "Content-Length: 2\r\n\r\nok", "")) {
      CompletableFuture<HttpResponse> response = client.send(server.call(), TIMEOUT_MILLIS);
      server.sending.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      HttpResponse beside = client.send(other.call(), TIMEOUT_MILLIS).get(1, TimeUnit.SECONDS);
      assertEquals("ok", new String(beside.body(), StandardCharsets.US_ASCII));
      response.handle((done, failure) -> null).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      server.closed.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      assertTrue(server.sent.get() < MAX_SENT_BYTES, server.sent + " bytes were sent");
    }
  }

  /** Guards against an idle connection of the pool that fills the memory. */
  @ParameterizedTest
  @EnumSource
  void bytesOnIdleConnectionCloseIt(Unrequested endless) throws Exception {
    try (Server server = new Server(SendsAfter.TWO_RESPONSES, endless.once, endless.repeated)) {
      assertEquals("ok", sendWithId(server, "a"));
      assertEquals("ok", sendWithId(server, "b"));
      server.closed.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      assertTrue(server.sent.get() < MAX_SENT_BYTES, server.sent + " bytes were sent");
    }
  }

  private String sendWithId(Server server, String id) throws Exception {
    TransferTimeouts limits = new TransferTimeouts(TIMEOUT_MILLIS, TIMEOUT_MILLIS);
    HttpRequest call = server.call();
    ResponseCollector collector =
        new ResponseCollector(call.uri(), limits, 1_000, true, MonotonicClock.INSTANCE);
    client.stream(
        call,
        collector,
        new ConnectionOptions(
            ConnectionOptions.NO_TIMEOUT, Integer.MAX_VALUE, true, EchoedId.of("Request-Id", id)));
    byte[] body = collector.future().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).body();
    return new String(body, StandardCharsets.US_ASCII);
  }

  /** When a server begins to send without end. */
  private enum SendsAfter {
    CONNECT,
    REQUEST,
    TWO_RESPONSES
  }

  /** Sends some bytes once and others until its connection is closed. */
  private static final class Server implements AutoCloseable {

    private static final int REPEATS = 8 * 1024;

    /** Long enough for the client to return the connection to its pool. */
    private static final long IDLE_MILLIS = 100;

    private final ServerSocket socket = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    private final AtomicLong sent = new AtomicLong();
    private final CompletableFuture<Void> sending = new CompletableFuture<>();
    private final CompletableFuture<Void> closed = new CompletableFuture<>();

    Server(String once, String repeated) throws IOException {
      this(SendsAfter.REQUEST, once, repeated);
    }

    Server(SendsAfter begin, String once, String repeated) throws IOException {
      Thread.ofVirtual().start(() -> serve(begin, once, repeated));
    }

    private void serve(SendsAfter begin, String once, String repeated) {
      try (Socket connection = socket.accept()) {
        OutputStream out = connection.getOutputStream();
        if (begin == SendsAfter.REQUEST) {
          connection.getInputStream().read(new byte[4096]);
        } else if (begin == SendsAfter.TWO_RESPONSES) {
          respond(connection);
          respond(connection);
          Thread.sleep(IDLE_MILLIS);
        }
        out.write(once.getBytes(StandardCharsets.US_ASCII));
        byte[] block = repeated.repeat(REPEATS).getBytes(StandardCharsets.US_ASCII);
        while (block.length > 0) {
          out.write(block);
          sent.addAndGet(block.length);
          sending.complete(null);
        }
        connection.getInputStream().read();
      } catch (IOException e) {
        closed.complete(null);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private static void respond(Socket connection) throws IOException {
      connection.getInputStream().read(new byte[4096]);
      connection
          .getOutputStream()
          .write((HEAD + "Content-Length: 2\r\n\r\nok").getBytes(StandardCharsets.US_ASCII));
    }

    HttpRequest call() {
      return HttpRequest.get(URI.create("http://127.0.0.1:" + socket.getLocalPort() + "/"));
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
