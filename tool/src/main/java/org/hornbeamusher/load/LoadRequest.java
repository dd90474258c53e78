package org.hornbeamusher.load;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.hornbeamusher.http.HttpRequest;
import org.hornbeamusher.ids.AdapterRef;

/** One request of a workload: what is sent, and what its answer must be. */
sealed interface LoadRequest {

  /** Returns the key of a request that must run at most once; empty for a repeatable one. */
  String onceKey();

  /** Returns the call that sends it to an entry. */
  HttpRequest call(URI entry, LoadSettings settings);

  /** A completion. */
  record Completion(
      AdapterRef adapter, String prompt, int maxTokens, boolean streamed, String onceKey)
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
      return post(entry.resolve("/v1/completions"), json, onceKey, settings);
    }
  }

  /** A call of a plain service; its body is echoed. */
  record PlainCall(String service, String path, String body, String onceKey)
      implements LoadRequest {

    @Override
    public HttpRequest call(URI entry, LoadSettings settings) {
      return post(entry.resolve("/services/" + service + path), body, onceKey, settings);
    }
  }

  private static HttpRequest post(URI uri, String body, String onceKey, LoadSettings settings) {
    Map<String, String> headers = new HashMap<>();
    headers.put("Content-Type", "application/json");
    if (!settings.token().isEmpty()) {
      headers.put("Authorization", "Bearer " + settings.token());
    }
    if (settings.deadlineMillis() > 0) {
      headers.put("X-Deadline-Ms", Long.toString(settings.deadlineMillis()));
    }
    if (!onceKey.isEmpty()) {
      headers.put("X-Repeatable", "false");
      headers.put("Idempotency-Key", onceKey);
    }
    return new HttpRequest("POST", uri, headers, body.getBytes(StandardCharsets.UTF_8));
  }
}
