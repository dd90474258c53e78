package org.hornbeamusher.forwarding;

import org.hornbeamusher.ids.EndpointId;

/**
 * The response of an endpoint that did not crash.
 *
 * @param requestId the id of the request
 * @param endpoint the endpoint
 * @param status the status of the response
 */
record AttemptResponse(String requestId, EndpointId endpoint, int status) {

  private static final int CONTENT_TOO_LARGE = 413;
  private static final int SERVER_ERROR = 500;

  /**
   * Returns whether the endpoint ran the request and survived it. One that fails, or rejects a long
   * body before it has read it, may not have begun to run it.
   */
  boolean showsSurvival() {
    return status < SERVER_ERROR && status != CONTENT_TOO_LARGE;
  }
}
