package org.hornbeamusher.http;

import java.util.Map;
import org.hornbeamusher.transfer.TransferStats;

/**
 * One whole HTTP response.
 *
 * @param status the status code
 * @param headers the first value of each header, by lower-case name
 * @param body the content
 * @param transfer what it took to arrive
 */
public record HttpResponse(
    int status, Map<String, String> headers, byte[] body, TransferStats transfer) {

  /** Copies the map. */
  public HttpResponse {
    headers = Map.copyOf(headers);
  }

  /**
   * Creates a response of which it does not matter what it took.
   *
   * @param status the status code
   * @param headers the first value of each header, by lower-case name
   * @param body the content
   */
  public HttpResponse(int status, Map<String, String> headers, byte[] body) {
    this(status, headers, body, TransferStats.NONE);
  }
}
