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

  /** Half of the time that an orderly close in the middle of an exchange takes. */
  private static final int READ_TIMEOUT_MILLIS = 5_000;

  /**
   * Guards against an orderly close of a cancelled exchange. If a request is sent during a network
   * partition and its caller disconnects, an orderly close would deliver the request when the
   * partition ends, and the endpoint would run it for nobody. A reset drops the undelivered data.
   */
  @Test
  void cancelledExchangeResetsItsConnection() throws IOException {
    HttpClient client = new HttpClient(1);
    client.start();
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort() + "/");
      HttpStream stream = client.stream(HttpRequest.get(uri), new NoOpListener());
      try (Socket socket = server.accept()) {
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        InputStream in = socket.getInputStream();
        in.read();
        stream.cancel();
        assertThrows(SocketException.class, in::readAllBytes);
      }
    } finally {
      client.stop();
    }
  }

  /**
   * Guards against writing a request that the listener withdraws, because its endpoint reported in
   * the meantime that it accepts none.
   */
  @Test
  void withdrawnRequestIsNotWritten() throws IOException {
    HttpClient client = new HttpClient(1);
    client.start();
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort() + "/");
      CompletableFuture<Throwable> failure = new CompletableFuture<>();
      client.stream(HttpRequest.get(uri), new WithdrawingListener(failure));
      try (Socket socket = server.accept()) {
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
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

  private static final class WithdrawingListener extends NoOpListener {

    private final CompletableFuture<Throwable> failure;

    WithdrawingListener(CompletableFuture<Throwable> failure) {
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

  private static class NoOpListener implements HttpStreamListener {

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
