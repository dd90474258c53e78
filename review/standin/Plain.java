import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.Semaphore;

/** Stand-in of an application worker: runs requests in its slots and seals its answers. */
final class Plain {

  private static final int BEAT_MILLIS = 1_200;

  /** Runs a request and returns the body of its answer. */
  interface Work {
    byte[] run(Http.Message request) throws Exception;
  }

  private final String id;
  private final String service;
  private final Store store;
  private final int slots;
  private final Semaphore free;
  private final Http.Server server;
  Work answer = request -> new byte[0];

  Plain(String ip, String id, String service, Store store, int slots) throws IOException {
    this.id = id;
    this.service = service;
    this.store = store;
    this.slots = slots;
    this.free = new Semaphore(slots, true);
    this.server = new Http.Server(ip, 0, this::handle);
  }

  void start() {
    server.start();
    Thread.ofVirtual().start(this::beat);
  }

  private void beat() {
    try {
      for (int beats = 1; ; beats++) {
        store.put(
            "servers",
            id,
            "{\"service\":\"" + service + "\",\"address\":\"" + server.address()
                + "\",\"zone\":\"marka\",\"version\":\"v1\",\"slots\":" + slots
                + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":" + beats + "}");
        Thread.sleep(BEAT_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean handle(Http.Message request, Socket connection, OutputStream out)
      throws Exception {
    String expected = request.header("x-expect-instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      Http.answer(out, 421, "X-Instance-Id: " + id + "\r\n", new byte[0]);
      return true;
    }
    free.acquire();
    try {
      if (request.word(1).equals("/health")) {
        Http.answer(out, 200, "X-Instance-Id: " + id + "\r\n", new byte[0]);
        return true;
      }
      String attempt = request.header("x-attempt-id");
      byte[] body = answer.run(request);
      Http.answer(
          out,
          200,
          "X-Attempt-Id: " + attempt + "\r\nX-Response-Seal: " + id + "." + attempt + "\r\n",
          body);
      return true;
    } finally {
      free.release();
    }
  }
}
