import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server on plain sockets, and what a client needs to read a message. */
final class Http {

  private Http() {}

  /** The first line, the headers (names in lower case) and the body of a message. */
  record Message(String first, Map<String, String> headers, byte[] body) {

    String word(int index) {
      return first.split(" ", 3)[index];
    }

    String header(String name) {
      return headers.getOrDefault(name, "");
    }
  }

  interface Handler {
    /** Answers a request; returns whether the connection is kept. */
    boolean handle(Message request, Socket connection, OutputStream out) throws Exception;
  }

  /** A server whose connections can be reset all at once, as when its process dies. */
  static final class Server {
    private final InetSocketAddress address;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listener;

    Server(String ip, int port, Handler handler) throws IOException {
      this.handler = handler;
      listener = new ServerSocket();
      listener.setReuseAddress(true);
      listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
      address = (InetSocketAddress) listener.getLocalSocketAddress();
    }

    String address() {
      return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    void start() {
      Thread.ofVirtual().start(() -> accept(listener));
    }

    private void accept(ServerSocket from) {
      while (!from.isClosed()) {
        try {
          Socket socket = from.accept();
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
        InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        while (true) {
          Message request = read(in);
          if (request == null || !handler.handle(request, socket, out)) {
            return;
          }
        }
      } catch (Exception e) {
        // The connection is gone.
      } finally {
        open.remove(socket);
      }
    }

    /** Closes the listener and resets every connection. */
    void crash() {
      try {
        listener.close();
      } catch (IOException e) {
        // Closed already.
      }
      for (Socket socket : open) {
        reset(socket);
      }
    }
  }

  static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // Closed already.
    }
  }

  /** Reads a head; null at the end of the connection. */
  static Message head(InputStream in) throws IOException {
    String first = line(in);
    if (first == null || first.isEmpty()) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).trim());
    }
    return new Message(first, headers, new byte[0]);
  }

  /** Reads a whole message; null at the end of the connection. */
  static Message read(InputStream in) throws IOException {
    Message head = head(in);
    if (head == null) {
      return null;
    }
    byte[] body = new byte[0];
    if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream whole = new ByteArrayOutputStream();
      for (byte[] chunk = chunk(in); chunk.length > 0; chunk = chunk(in)) {
        whole.write(chunk);
      }
      body = whole.toByteArray();
    } else if (!head.header("content-length").isEmpty()) {
      int length = Integer.parseInt(head.header("content-length"));
      body = in.readNBytes(length);
      if (body.length < length) {
        throw new IOException("cut after " + body.length + " of " + length + " bytes");
      }
    }
    return new Message(head.first(), head.headers(), body);
  }

  /** Reads one chunk; empty for the last one. */
  static byte[] chunk(InputStream in) throws IOException {
    String size = line(in);
    if (size == null) {
      throw new IOException("cut before the last chunk");
    }
    int length = Integer.parseInt(size.split(";")[0].trim(), 16);
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length || line(in) == null) {
      throw new IOException("cut in a chunk");
    }
    return bytes;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      if (next != '\r') {
        line.write(next);
      }
      next = in.read();
    }
    return next < 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
  }

  static void answer(OutputStream out, int status, String headers, byte[] body)
      throws IOException {
    String head =
        "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
    ByteArrayOutputStream whole = new ByteArrayOutputStream();
    whole.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
    whole.writeBytes(body);
    out.write(whole.toByteArray());
    out.flush();
  }

  static void json(OutputStream out, int status, String body) throws IOException {
    answer(out, status, "Content-Type: application/json\r\n", body.getBytes(StandardCharsets.UTF_8));
  }

  static void chunk(OutputStream out, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    String framed = Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n";
    out.write(framed.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  /** A value of a flat JSON object; empty if it is missing. */
  static String field(String json, String name) {
    java.util.regex.Matcher found =
        java.util.regex.Pattern.compile("\"" + name + "\"\\s*:\\s*(?:\"([^\"]*)\"|([^,}\\]]*))")
            .matcher(json);
    if (!found.find()) {
      return "";
    }
    return found.group(1) != null ? found.group(1) : found.group(2).trim();
  }
}
