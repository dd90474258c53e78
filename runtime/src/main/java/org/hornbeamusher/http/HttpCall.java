package org.hornbeamusher.http;

import java.net.URI;
import java.util.Map;

/**
 * One HTTP request.
 *
 * @param method for example {@code POST}
 * @param uri scheme, host, port, path and query
 * @param headers besides {@code Host} and {@code Content-Length}, which the client sets
 * @param body the content, empty for none
 */
public record HttpCall(String method, URI uri, Map<String, String> headers, byte[] body) {

  /** Copies the map. */
  public HttpCall {
    headers = Map.copyOf(headers);
  }

  /**
   * Describes a GET without headers.
   *
   * @param uri what to get
   * @return the call
   */
  public static HttpCall get(URI uri) {
    return new HttpCall("GET", uri, Map.of(), new byte[0]);
  }

  /**
   * Describes a POST of JSON.
   *
   * @param uri where to
   * @param json the content
   * @return the call
   */
  public static HttpCall postJson(URI uri, byte[] json) {
    return new HttpCall("POST", uri, Map.of("Content-Type", "application/json"), json);
  }
}
