package org.hornbeamusher.http;

import java.net.URI;
import java.util.List;
import java.util.Map;

/**
 * One HTTP request.
 *
 * @param method for example {@code POST}
 * @param uri the server to connect to; path and query are ignored in favour of {@code target}
 * @param host the value of the {@code Host} header, which may differ from the address
 * @param target path and query as written on the request line
 * @param headers the headers except {@code Host} and {@code Content-Length}, which the client sets
 * @param body the content, empty for none
 */
public record HttpRequest(
    String method, URI uri, String host, String target, List<HttpHeader> headers, byte[] body) {

  /** Copies the list. */
  public HttpRequest {
    headers = List.copyOf(headers);
  }

  /**
   * Creates a request whose host and target are those of its URI.
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
   * Creates a GET request without headers.
   *
   * @param uri the URI
   * @return the request
   */
  public static HttpRequest get(URI uri) {
    return new HttpRequest("GET", uri, Map.of(), new byte[0]);
  }

  /**
   * Creates a POST request with a JSON body.
   *
   * @param uri the URI
   * @param json the body
   * @return the request
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
