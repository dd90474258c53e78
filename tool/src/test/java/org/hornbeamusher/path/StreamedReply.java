package org.hornbeamusher.path;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.hornbeamusher.demo.Deployment;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.http.HttpRequest;
import org.hornbeamusher.http.HttpStreamListener;

/** What a caller has received of a stream so far. */
final class StreamedReply implements HttpStreamListener {

  private final ByteArrayOutputStream received = new ByteArrayOutputStream();
  private boolean ended;
  private boolean cut;

  static HttpRequest call(URI entry, String body) {
    return new HttpRequest(
        "POST",
        URI.create(entry + "/v1/completions"),
        Map.of(
            "Authorization",
            "Bearer " + Deployment.callerToken(PathFixture.PLAN),
            "X-Deadline-Ms",
            "60000"),
        body.getBytes(StandardCharsets.UTF_8));
  }

  synchronized String text() {
    return received.toString(StandardCharsets.UTF_8);
  }

  synchronized boolean isEnded() {
    return ended;
  }

  synchronized boolean isCut() {
    return cut;
  }

  @Override
  public void head(HttpHead head) {}

  @Override
  public synchronized void data(byte[] bytes) {
    received.writeBytes(bytes);
  }

  @Override
  public synchronized void end() {
    ended = true;
  }

  @Override
  public synchronized void failed(Throwable failure) {
    ended = true;
    cut = true;
  }
}
