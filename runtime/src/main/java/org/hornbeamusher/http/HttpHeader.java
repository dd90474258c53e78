package org.hornbeamusher.http;

import java.util.List;
import java.util.Optional;

/**
 * One header field. A message may carry several of one name; their order is kept.
 *
 * @param name as it was written
 * @param value without surrounding white space
 */
public record HttpHeader(String name, String value) {

  /**
   * Returns whether this is a header of a name.
   *
   * @param other in any case
   * @return whether the names are the same
   */
  public boolean hasName(String other) {
    return name.length() == other.length() && name.equalsIgnoreCase(other);
  }

  /**
   * Finds a header of a message.
   *
   * @param headers of the message, in order
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
