package org.hornbeamusher.http;

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

/**
 * Answers each request with bytes that a test has chosen. {@link #PAUSE} separates parts that are
 * written one after the other, and {@link #CLOSE} at the end closes the connection.
 */
final class ScriptedServer implements AutoCloseable {

  static final char PAUSE = (char) 0xE000;
  static final char CLOSE = (char) 0xE001;

  private static final int REQUEST_BYTES = 4 * 1024;
  private static final long PAUSE_MILLIS = 2;

  /** Long enough for the client to read the response before the connection ends. */
  private static final long CLOSE_MILLIS = 10;

  private final ServerSocket socket = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
  private final BlockingQueue<String> responses = new LinkedBlockingQueue<>();

  ScriptedServer() throws IOException {
    Thread.ofVirtual().start(this::accept);
  }

  /** Adds the response to the next request; each character is a byte. */
  void respond(String response) {
    responses.add(response);
  }

  URI uri() {
    return URI.create("http://127.0.0.1:" + socket.getLocalPort() + "/x");
  }

  HttpRequest call() {
    return new HttpRequest("POST", uri(), Map.of(), new byte[1]);
  }

  private void accept() {
    try {
      while (true) {
        Socket connection = socket.accept();
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
      boolean open = true;
      while (open && in.read(new byte[REQUEST_BYTES]) > 0) {
        open = write(connection.getOutputStream(), responses.take());
      }
    } catch (IOException e) {
      // The client has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns whether the connection stays open. */
  private static boolean write(OutputStream out, String response)
      throws IOException, InterruptedException {
    boolean closes = response.indexOf(CLOSE) >= 0;
    for (String part : response.replace(String.valueOf(CLOSE), "").split("" + PAUSE)) {
      out.write(part.getBytes(StandardCharsets.ISO_8859_1));
      Thread.sleep(response.indexOf(PAUSE) >= 0 ? PAUSE_MILLIS : 0);
    }
    Thread.sleep(closes ? CLOSE_MILLIS : 0);
    return !closes;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
