package org.hornbeamusher.table;

import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpRequest;

/** Reads the instance list over HTTP. */
public final class HttpInstanceList implements InstanceList {

  private final PlatformCalls calls;
  private final URI uri;

  /**
   * Creates a client.
   *
   * @param client the HTTP client
   * @param platform base URI of the platform
   * @param timeoutMillis timeout of a call
   */
  public HttpInstanceList(HttpClient client, URI platform, long timeoutMillis) {
    this.calls = new PlatformCalls(client, timeoutMillis);
    this.uri = platform.resolve("/instances");
  }

  @Override
  public CompletableFuture<List<Instance>> instances() {
    return calls.read(
        HttpRequest.get(uri),
        body -> PlatformJson.decode(body, PlatformJson.Instances.class).list());
  }
}
