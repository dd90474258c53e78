package org.hornbeamusher.claims;

import java.util.Arrays;

/**
 * An answer that is short enough to be kept with its claim.
 *
 * @param status the HTTP status
 * @param contentType the media type
 * @param body the whole body
 */
public record StoredResponse(int status, String contentType, byte[] body) {

  /**
   * Longest body kept: bookings and valuations are below 1 KiB, an answer of 4,000 tokens is about
   * this long. Longer ones are not kept; a resend is then told that the request ran.
   */
  public static final int MAXIMUM_LENGTH = 16 * 1_024;

  @Override
  public boolean equals(Object other) {
    return other instanceof StoredResponse answer
        && status == answer.status
        && contentType.equals(answer.contentType)
        && Arrays.equals(body, answer.body);
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
