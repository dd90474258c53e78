package org.hornbeamusher.http;

import java.util.List;
import java.util.Optional;

/**
 * One header field. A message may have several fields of the same name; their order is kept.
 *
 * @param name the name as it was written
 * @param value the value without surrounding white space
 */
public record HttpHeader(String name, String value) {

  /**
   * Returns whether this header has a name.
   *
   * @param other the name, in any case
   * @return whether the names are equal, ignoring case
   */
  public boolean hasName(String other) {
    return name.length() == other.length() && name.equalsIgnoreCase(other);
  }

  /**
   * Finds a header of a message.
   *
   * @param headers the headers of the message, in order
   * @param name in any case
   * @return its first value, or empty when the message has none
   */
  public static Optional<String> first(List<HttpHeader> headers, String name) {
    for (HttpHeader header : headers) {
      if (header.hasName(name)) {
        return Optional.of(header.value());
      }
    }
    return Optional.empty();
  }
}
