package org.hornbeamusher.http;

import java.net.URI;
import java.util.List;
import java.util.Map;

/**
 * One HTTP request.
 *
 * @param method for example {@code POST}
 * @param uri whom to connect to; path and query are those of {@code target}
 * @param host the {@code Host} header, which need not be the address
 * @param target path and query as they go on the request line
 * @param headers besides {@code Host} and {@code Content-Length}, which the client sets
 * @param body the content, empty for none
 */
public record HttpRequest(
    String method, URI uri, String host, String target, List<HttpHeader> headers, byte[] body) {

  /** Copies the list. */
  public HttpRequest {
    headers = List.copyOf(headers);
  }

  /**
   * Describes a request whose host and target are those of its address.
   *
   * @param method for example {@code POST}
   * @param uri scheme, host, port, path and query
   * @param headers as for the record
   * @param body the content, empty for none
   */
  public HttpRequest(String method, URI uri, Map<String, String> headers, byte[] body) {
    this(method, uri, uri.getAuthority(), targetOf(uri), listOf(headers), body);
  }

  /**
   * Describes a GET without headers.
   *
   * @param uri what to get
   * @return the call
   */
  public static HttpRequest get(URI uri) {
    return new HttpRequest("GET", uri, Map.of(), new byte[0]);
  }

  /**
   * Describes a POST of JSON.
   *
   * @param uri where to
   * @param json the content
   * @return the call
   */
  public static HttpRequest postJson(URI uri, byte[] json) {
    return new HttpRequest("POST", uri, Map.of("Content-Type", "application/json"), json);
  }

  private static String targetOf(URI uri) {
    String path = uri.getRawPath().isEmpty() ? "/" : uri.getRawPath();
    return uri.getRawQuery() == null ? path : path + "?" + uri.getRawQuery();
  }

  private static List<HttpHeader> listOf(Map<String, String> headers) {
    return headers.entrySet().stream()
        .map(header -> new HttpHeader(header.getKey(), header.getValue()))
        .toList();
  }
}
