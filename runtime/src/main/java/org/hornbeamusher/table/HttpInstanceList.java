package org.hornbeamusher.table;

import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.http.HttpCall;
import org.hornbeamusher.http.HttpClient;

/** Reads the instance list over HTTP. */
public final class HttpInstanceList implements InstanceList {

  private final PlatformCalls calls;
  private final URI uri;

  /**
   * Creates a reader.
   *
   * @param client sends the calls
   * @param platform where the platform is
   * @param timeoutMillis how long a call may take
   */
  public HttpInstanceList(HttpClient client, URI platform, long timeoutMillis) {
    this.calls = new PlatformCalls(client, timeoutMillis);
    this.uri = platform.resolve("/instances");
  }

  @Override
  public CompletableFuture<List<Instance>> instances() {
    return calls.read(
        HttpCall.get(uri), body -> PlatformJson.decode(body, PlatformJson.Instances.class).list());
  }
}
