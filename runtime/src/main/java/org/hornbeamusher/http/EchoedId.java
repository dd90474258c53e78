package org.hornbeamusher.http;

import java.util.Optional;

/**
 * The id of a request, which the server repeats in its responses to it.
 *
 * @param header the header that contains it in requests and responses
 * @param value the id
 */
public record EchoedId(String header, String value) {

  /**
   * Creates the id of a request.
   *
   * @param header the header that contains it in requests and responses
   * @param value the id; empty if the request has none
   * @return empty if the request has no id
   */
  public static Optional<EchoedId> of(String header, String value) {
    return value.isEmpty() ? Optional.empty() : Optional.of(new EchoedId(header, value));
  }
}
