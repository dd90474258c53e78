package org.hornbeamusher.table;

import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hornbeamusher.http.HttpClient;
import org.hornbeamusher.http.HttpRequest;

/** Accesses the table service over HTTP; see {@code docs/PLATFORM-INTERFACE.md} for the formats. */
public final class HttpTable implements Table {

  private final PlatformCalls calls;
  private final URI platform;
  private final URI commits;

  /**
   * Creates a client.
   *
   * @param client the HTTP client
   * @param platform base URI of the platform
   * @param timeoutMillis timeout of a call
   */
  public HttpTable(HttpClient client, URI platform, long timeoutMillis) {
    this.calls = new PlatformCalls(client, timeoutMillis);
    this.platform = platform;
    this.commits = platform.resolve("/commits");
  }

  @Override
  public CompletableFuture<Optional<Row>> read(RowKey key) {
    String query = "?table=" + encode(key.table()) + "&key=" + encode(key.key());
    URI uri = platform.resolve("/rows" + query);
    return calls.read(
        HttpRequest.get(uri),
        body -> PlatformJson.decode(body, PlatformJson.Rows.class).toRows().stream().findFirst());
  }

  @Override
  public CompletableFuture<List<Row>> scan(String table, String prefix, String after, int limit) {
    String range = "&prefix=" + encode(prefix) + "&after=" + encode(after) + "&limit=" + limit;
    URI uri = platform.resolve("/rows?table=" + encode(table) + range);
    return calls.read(
        HttpRequest.get(uri), body -> PlatformJson.decode(body, PlatformJson.Rows.class).toRows());
  }

  @Override
  public CompletableFuture<CommitResult> commit(Transaction transaction) {
    byte[] body = PlatformJson.encode(PlatformJson.CommitRequest.of(transaction));
    return calls.write(
        HttpRequest.postJson(commits, body),
        response -> PlatformJson.decode(response, PlatformJson.CommitResponse.class).toResult());
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
