import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A plain HTTP/1.1 server with a thread for each connection. */
final class Http {

  private Http() {}

  record Request(String method, String target, List<String> headers, String body) {
    String path() {
      int at = target.indexOf('?');
      return at < 0 ? target : target.substring(0, at);
    }

    String header(String name) {
      return Http.header(headers, name);
    }
  }

  static String header(List<String> headers, String name) {
    String prefix = name.toLowerCase(Locale.ROOT) + ":";
    for (String header : headers) {
      if (header.toLowerCase(Locale.ROOT).startsWith(prefix)) {
        return header.substring(prefix.length()).trim();
      }
    }
    return null;
  }

  interface Handler {
    void handle(Request request, Responder out) throws IOException;
  }

  /** Writes to one connection. */
  static final class Responder {
    private final Socket socket;
    private boolean closed;

    /** A second answer, sent where the next one is expected; null if there is none. */
    String surplus;

    Responder(Socket socket) {
      this.socket = socket;
    }

    void raw(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void raw(byte[] bytes) throws IOException {
      socket.getOutputStream().write(bytes);
    }

    void send(int status, String headers, String body) throws IOException {
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      raw("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n" + body);
    }

    void reset() throws IOException {
      closed = true;
      Http.reset(socket);
    }

    void close() throws IOException {
      closed = true;
      socket.close();
    }

    boolean isOpen() {
      return !closed && !socket.isClosed();
    }
  }

  static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It is closed.
    }
  }

  static final class Server {
    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean stopped;

    Server(String ip, int port, Handler handler) throws IOException {
      this.handler = handler;
      listener = new ServerSocket();
      listener.setReuseAddress(true);
      listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
      Thread.ofVirtual().start(this::accept);
    }

    private void accept() {
      while (!stopped) {
        try {
          Socket socket = listener.accept();
          socket.setTcpNoDelay(true);
          open.add(socket);
          Thread.ofVirtual().start(() -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        Responder out = new Responder(socket);
        while (out.isOpen()) {
          Request request = read(in);
          if (request == null) {
            return;
          }
          handler.handle(request, out);
        }
      } catch (IOException | RuntimeException e) {
        // The peer has closed.
      } finally {
        open.remove(socket);
      }
    }

    void resetConnections() {
      open.forEach(Http::reset);
    }

    /** Stops as a process does that is killed. */
    void kill() throws IOException {
      stopped = true;
      listener.close();
      resetConnections();
    }
  }

  static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    while (true) {
      int next = in.read();
      if (next < 0) {
        return line.isEmpty() ? null : line.toString();
      }
      if (next == '\n') {
        return line.toString();
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
  }

  static List<String> head(InputStream in) throws IOException {
    List<String> headers = new ArrayList<>();
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      headers.add(line);
    }
    return headers;
  }

  private static Request read(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    List<String> headers = head(in);
    String length = header(headers, "Content-Length");
    byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
    String[] words = first.split(" ");
    return new Request(words[0], words[1], headers, new String(body, StandardCharsets.UTF_8));
  }
}
