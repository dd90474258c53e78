package org.hornbeamusher.http;

import java.util.Map;
import org.hornbeamusher.transfer.Transfer;

/**
 * One whole HTTP response.
 *
 * @param status the status code
 * @param headers the first value of each header, by lower-case name
 * @param body the content
 * @param transfer what it took to arrive
 */
public record HttpReply(int status, Map<String, String> headers, byte[] body, Transfer transfer) {

  /** Copies the map. */
  public HttpReply {
    headers = Map.copyOf(headers);
  }

  /**
   * Creates a response of which it does not matter what it took.
   *
   * @param status the status code
   * @param headers the first value of each header, by lower-case name
   * @param body the content
   */
  public HttpReply(int status, Map<String, String> headers, byte[] body) {
    this(status, headers, body, Transfer.NONE);
  }
}
