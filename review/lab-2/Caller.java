import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

/** One try of a client, on a connection of its own. */
final class Caller {

  /** What one try brought. */
  static final class Answer {
    final String id;
    int status;
    List<String> headers = List.of();
    final StringBuilder body = new StringBuilder();
    boolean complete;
    String failure = "";
    long tookMillis;

    Answer(String id) {
      this.id = id;
    }

    List<String> events() {
      List<String> found = new ArrayList<>();
      String text = body.toString();
      for (int at = text.indexOf("\n\n"); at >= 0; at = text.indexOf("\n\n")) {
        found.add(text.substring(0, at));
        text = text.substring(at + 2);
      }
      return found;
    }

    String lastEvent() {
      List<String> all = events();
      return all.isEmpty() ? "" : all.get(all.size() - 1).lines().findFirst().orElse("").replace("id: ", "");
    }

    String text() {
      return status + (complete ? " complete" : " cut") + (failure.isEmpty() ? "" : " (" + failure + ")");
    }
  }

  private Caller() {}

  static String newId() {
    return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
  }

  static Answer send(String ip, String method, String path, String id, long budgetMillis, String headers) {
    Answer answer = new Answer(id);
    long start = Lab.millis();
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(ip, Lab.CALLERS), 1_000);
      socket.setSoTimeout((int) Math.max(1, budgetMillis));
      socket
          .getOutputStream()
          .write(
              (method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
                      + "\r\nX-Time-Budget: " + budgetMillis + "\r\n" + headers
                      + "Content-Length: 0\r\nConnection: close\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
      read(new BufferedInputStream(socket.getInputStream()), answer);
    } catch (IOException | RuntimeException e) {
      answer.failure = e.getClass().getSimpleName();
    }
    answer.tookMillis = Lab.millis() - start;
    return answer;
  }

  private static void read(InputStream in, Answer answer) throws IOException {
    String first = Http.line(in);
    if (first == null) {
      answer.failure = "closed";
      return;
    }
    answer.status = Integer.parseInt(first.split(" ")[1]);
    answer.headers = Http.head(in);
    if (Http.header(answer.headers, "Transfer-Encoding") != null) {
      while (true) {
        String size = Http.line(in);
        if (size == null) {
          return;
        }
        int length = Integer.parseInt(size.trim(), 16);
        byte[] part = in.readNBytes(length);
        answer.body.append(new String(part, StandardCharsets.UTF_8));
        if (part.length < length) {
          return;
        }
        Http.line(in);
        if (length == 0) {
          answer.complete = true;
          return;
        }
      }
    }
    int length = Integer.parseInt(Http.header(answer.headers, "Content-Length"));
    byte[] part = in.readNBytes(length);
    answer.body.append(new String(part, StandardCharsets.UTF_8));
    answer.complete = part.length == length;
  }
}
