package org.hornbeamusher.path;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.hornbeamusher.demo.Deployment;
import org.hornbeamusher.http.HttpHead;
import org.hornbeamusher.http.HttpRequest;
import org.hornbeamusher.http.HttpStreamListener;

/** Records what a caller has received of a streamed response so far. */
final class StreamedResponseRecorder implements HttpStreamListener {

  private final ByteArrayOutputStream received = new ByteArrayOutputStream();
  private boolean ended;
  private boolean truncated;

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

  synchronized boolean isTruncated() {
    return truncated;
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
    truncated = true;
  }
}
