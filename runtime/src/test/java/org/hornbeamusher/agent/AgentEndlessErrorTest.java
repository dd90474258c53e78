package org.hornbeamusher.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.availability.RetryAfter;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.http.ConnectionOptions;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpRequest;
import org.hornbeamusher.wire.Message;
import org.hornbeamusher.wire.WireConnection;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An engine whose error response has no end. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class AgentEndlessErrorTest {

  private static final long TIMEOUT_MILLIS = 5_000;
  private static final int STATUS = 429;
  private static final String HEAD = "HTTP/1.1 429 Too Many Requests\r\n\r\n";
  private static final byte[] BLOCK = new byte[8 * 1024];

  /** Guards against an error response without end that keeps its attempt and is read for ever. */
  @Test
  void errorWithoutEndRejectsTheAttemptAndClosesItsConnection() throws Exception {
    HttpClient client = new HttpClient(1);
    client.start();
    try (ServerSocket engine = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      CompletableFuture<Void> closed = new CompletableFuture<>();
      Thread.ofVirtual().start(() -> serve(engine, closed));
      Rejections rejections = new Rejections();
      AgentAttempt attempt = new AgentAttempt(new Entry(), dispatch(), 1, rejections);
      URI uri = URI.create("http://127.0.0.1:" + engine.getLocalPort() + "/");
      attempt.attach(client.stream(HttpRequest.get(uri), attempt, ConnectionOptions.NEW));
      assertEquals(STATUS, rejections.status.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
      closed.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } finally {
      client.stop();
    }
  }

  private static void serve(ServerSocket engine, CompletableFuture<Void> closed) {
    try (Socket connection = engine.accept()) {
      connection.getInputStream().read(BLOCK.clone());
      OutputStream out = connection.getOutputStream();
      out.write(HEAD.getBytes(StandardCharsets.US_ASCII));
      while (true) {
        out.write(BLOCK);
      }
    } catch (IOException e) {
      closed.complete(null);
    }
  }

  private static Message.Dispatch dispatch() {
    return new Message.Dispatch(
        1,
        "r1",
        "GET",
        "/",
        "",
        new byte[0],
        "service/adapter@1",
        "zarqa",
        "service",
        "caller",
        10,
        TIMEOUT_MILLIS,
        TIMEOUT_MILLIS,
        1,
        1,
        1,
        1,
        100,
        "",
        1_000_000);
  }

  private static final class Rejections implements AgentAttempt.Listener {

    private final CompletableFuture<Integer> status = new CompletableFuture<>();

    @Override
    public boolean acceptsRequests() {
      return true;
    }

    @Override
    public void retryAfterStated(RetryAfter stated) {}

    @Override
    public void completed(AgentAttempt attempt) {}

    @Override
    public void rejected(AgentAttempt attempt, int rejectedWith, String body) {
      status.complete(rejectedWith);
    }

    @Override
    public void failed(AgentAttempt attempt, HornbeamusherException failure) {
      status.completeExceptionally(failure);
    }
  }

  private static final class Entry implements WireConnection {

    @Override
    public boolean send(Message message) {
      return true;
    }

    @Override
    public Message.Hello peer() {
      return new Message.Hello(1, 1, "entry", "entry-1", 1, "a", "", "");
    }

    @Override
    public boolean isOpen() {
      return true;
    }

    @Override
    public boolean receivingLargeMessage() {
      return false;
    }

    @Override
    public void close() {}
  }
}
