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
 * @param headers every header in order
 */
public record HttpHead(int status, List<HttpHeader> headers) {

  /** Copies the list. */
  public HttpHead {
    headers = List.copyOf(headers);
  }

  /**
   * Finds a header.
   *
   * @param name in any case
   * @return its first value, or empty when the response has none
   */
  public Optional<String> first(String name) {
    return headers.stream()
        .filter(header -> header.name().equalsIgnoreCase(name))
        .map(HttpHeader::value)
        .findFirst();
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
