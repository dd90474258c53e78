package org.hornbeamusher.http;

import java.util.Map;

/**
 * One whole HTTP response.
 *
 * @param status the status code
 * @param headers the first value of each header, by lower-case name
 * @param body the content
 */
public record HttpReply(int status, Map<String, String> headers, byte[] body) {

  /** Copies the map. */
  public HttpReply {
    headers = Map.copyOf(headers);
  }
}
