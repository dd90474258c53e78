package org.hornbeamusher.http;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * The head of a response.
 *
 * @param status the status code
 * @param headers all headers, in order
 */
public record HttpHead(int status, List<HttpHeader> headers) {

  private static final int SUCCESS_FROM = 200;
  private static final int SUCCESS_BELOW = 300;

  /** Copies the list. */
  public HttpHead {
    headers = List.copyOf(headers);
  }

  /**
   * Returns whether the response reports success.
   *
   * @return whether its status is between 200 and 299
   */
  public boolean isSuccess() {
    return status >= SUCCESS_FROM && status < SUCCESS_BELOW;
  }

  /**
   * Finds a header.
   *
   * @param name in any case
   * @return its first value, or empty when the response has none
   */
  public Optional<String> first(String name) {
    return HttpHeader.first(headers, name);
  }

  /**
   * Returns the headers by name.
   *
   * @return the first value of each header, by lower-case name
   */
  public Map<String, String> firstValues() {
    Map<String, String> values = new HashMap<>();
    for (HttpHeader header : headers) {
      values.putIfAbsent(header.name().toLowerCase(Locale.ROOT), header.value());
    }
    return values;
  }
}
