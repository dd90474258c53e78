package org.hornbeamusher.claims;

import java.util.Arrays;

/**
 * A response that is short enough to be stored with its claim.
 *
 * @param status the HTTP status
 * @param contentType the media type
 * @param body the complete body
 */
public record StoredResponse(int status, String contentType, byte[] body) {

  /**
   * Maximum stored body length in bytes. Bookings and valuations are below 1 KiB; a response of
   * 4,000 tokens is about this long. Longer responses are not stored; a retry then learns only that
   * the request has run.
   */
  public static final int MAXIMUM_LENGTH = 16 * 1_024;

  @Override
  public boolean equals(Object other) {
    return other instanceof StoredResponse response
        && status == response.status
        && contentType.equals(response.contentType)
        && Arrays.equals(body, response.body);
  }

  @Override
  public int hashCode() {
    return 31 * status + Arrays.hashCode(body);
  }

  @Override
  public String toString() {
    return status + " " + contentType + " " + body.length + " bytes";
  }
}
