package org.hornbeamusher.http;

import java.util.Map;
import org.hornbeamusher.transfer.TransferStats;

/**
 * A complete HTTP response.
 *
 * @param status the status code
 * @param headers the first value of each header, by lower-case name
 * @param body the content
 * @param transfer the duration and size of the transfer
 */
public record HttpResponse(
    int status, Map<String, String> headers, byte[] body, TransferStats transfer) {

  /** Copies the map. */
  public HttpResponse {
    headers = Map.copyOf(headers);
  }

  /**
   * Creates a response without a measured transfer.
   *
   * @param status the status code
   * @param headers the first value of each header, by lower-case name
   * @param body the content
   */
  public HttpResponse(int status, Map<String, String> headers, byte[] body) {
    this(status, headers, body, TransferStats.NONE);
  }
}
