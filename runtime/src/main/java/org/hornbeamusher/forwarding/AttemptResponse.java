package org.hornbeamusher.forwarding;

import org.hornbeamusher.ids.EndpointId;

/**
 * The response of an endpoint that ran a request without a crash.
 *
 * @param requestId the id of the request
 * @param endpoint the endpoint
 * @param status the status of the response
 */
record AttemptResponse(String requestId, EndpointId endpoint, int status) {}
