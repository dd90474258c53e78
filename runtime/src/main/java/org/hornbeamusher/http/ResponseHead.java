package org.hornbeamusher.http;

import java.util.Optional;

/**
 * What the head of a response tells about the place of the response on its connection.
 *
 * @param status the status, from 100 to 599
 * @param id the request that it names, if it names exactly one
 * @param body its body
 */
record ResponseHead(int status, Optional<String> id, ResponseBody body) {

  /** The lowest status of a response that no other one to the same request follows. */
  static final int MIN_FINAL_STATUS = 200;

  /** Returns whether another response to the same request follows it. */
  boolean isInterim() {
    return status < MIN_FINAL_STATUS;
  }
}
