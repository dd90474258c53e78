package org.hornbeamusher.http;

import java.util.Map;
import org.hornbeamusher.transfer.Transfer;

/**
 * A complete HTTP response.
 *
 * @param status the status code
 * @param headers the first value of each header, by lower-case name
 * @param body the content
 * @param transfer the duration and size of the transfer
 */
public record HttpReply(int status, Map<String, String> headers, byte[] body, Transfer transfer) {

  /** Copies the map. */
  public HttpReply {
    headers = Map.copyOf(headers);
  }

  /**
   * Creates a response without a measured transfer.
   *
   * @param status the status code
   * @param headers the first value of each header, by lower-case name
   * @param body the content
   */
  public HttpReply(int status, Map<String, String> headers, byte[] body) {
    this(status, headers, body, Transfer.NONE);
  }
}
