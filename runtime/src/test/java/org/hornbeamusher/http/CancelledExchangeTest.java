package org.hornbeamusher.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.junit.jupiter.api.Test;

class CancelledExchangeTest {

  /** Half of the time that an orderly close takes in the middle of an exchange. */
  private static final int LONG_MILLIS = 5_000;

  /**
   * A request is sent while the link to its endpoint is cut, and its caller leaves. Closed in
   * order, the connection would deliver the request when the link is back, seconds later, and the
   * endpoint would work for nobody; reset, what was held up on the way is dropped.
   */
  @Test
  void cancelledExchangeResetsItsConnection() throws IOException {
    HttpClient client = new HttpClient(1);
    client.start();
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort() + "/");
      HttpStream stream = client.stream(HttpRequest.get(uri), new Deaf());
      try (Socket socket = server.accept()) {
        socket.setSoTimeout(LONG_MILLIS);
        InputStream in = socket.getInputStream();
        in.read();
        stream.cancel();
        assertThrows(SocketException.class, in::readAllBytes);
      }
    } finally {
      client.stop();
    }
  }

  /** A request was written although its endpoint had stated meanwhile that it takes none. */
  @Test
  void withdrawnRequestIsNotWritten() throws IOException {
    HttpClient client = new HttpClient(1);
    client.start();
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort() + "/");
      CompletableFuture<Throwable> failure = new CompletableFuture<>();
      client.stream(HttpRequest.get(uri), new Withdrawn(failure));
      try (Socket socket = server.accept()) {
        socket.setSoTimeout(LONG_MILLIS);
        assertEquals(0, received(socket));
        assertEquals(
            FailureType.SEND_WITHDRAWN, HornbeamusherException.from(failure.join()).type());
      }
    } finally {
      client.stop();
    }
  }

  private static int received(Socket socket) throws IOException {
    try {
      return socket.getInputStream().readAllBytes().length;
    } catch (SocketException e) {
      return 0;
    }
  }

  private static final class Withdrawn extends Deaf {

    private final CompletableFuture<Throwable> failure;

    Withdrawn(CompletableFuture<Throwable> failure) {
      this.failure = failure;
    }

    @Override
    public boolean shouldSend() {
      return false;
    }

    @Override
    public void failed(Throwable thrown) {
      failure.complete(thrown);
    }
  }

  private static class Deaf implements HttpStreamListener {

    @Override
    public void head(HttpHead head) {}

    @Override
    public void data(byte[] bytes) {}

    @Override
    public void end() {}

    @Override
    public void failed(Throwable failure) {}
  }
}
