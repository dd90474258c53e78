package org.hornbeamusher.load;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.hornbeamusher.http.HttpRequest;
import org.hornbeamusher.ids.AdapterRef;

/** One request of a workload, with everything that determines its expected response. */
sealed interface LoadRequest {

  /**
   * Returns the idempotency key of a request that must run at most once; empty for a repeatable
   * one.
   */
  String idempotencyKey();

  /** Returns the HTTP request that sends it to an entry. */
  HttpRequest call(URI entry, LoadSettings settings);

  /** A completion request to a model service. */
  record Completion(
      AdapterRef adapter, String prompt, int maxTokens, boolean streamed, String idempotencyKey)
      implements LoadRequest {

    @Override
    public HttpRequest call(URI entry, LoadSettings settings) {
      String json =
          "{\"model\":\""
              + adapter
              + "\",\"prompt\":\""
              + prompt
              + "\",\"max_tokens\":"
              + maxTokens
              + ",\"stream\":"
              + streamed
              + "}";
      return post(entry.resolve("/v1/completions"), json, idempotencyKey, settings);
    }
  }

  /** A call of a plain service, which echoes the body. */
  record PlainCall(String service, String path, String body, String idempotencyKey)
      implements LoadRequest {

    @Override
    public HttpRequest call(URI entry, LoadSettings settings) {
      return post(entry.resolve("/services/" + service + path), body, idempotencyKey, settings);
    }
  }

  private static HttpRequest post(
      URI uri, String body, String idempotencyKey, LoadSettings settings) {
    Map<String, String> headers = new HashMap<>();
    headers.put("Content-Type", "application/json");
    if (!settings.token().isEmpty()) {
      headers.put("Authorization", "Bearer " + settings.token());
    }
    if (settings.deadlineMillis() > 0) {
      headers.put("X-Deadline-Ms", Long.toString(settings.deadlineMillis()));
    }
    if (!idempotencyKey.isEmpty()) {
      headers.put("X-Repeatable", "false");
      headers.put("Idempotency-Key", idempotencyKey);
    }
    return new HttpRequest("POST", uri, headers, body.getBytes(StandardCharsets.UTF_8));
  }
}
