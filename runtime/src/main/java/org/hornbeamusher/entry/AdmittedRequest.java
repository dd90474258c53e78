package org.hornbeamusher.entry;

import java.util.Optional;
import org.hornbeamusher.documents.ServiceDocument;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.IdempotencyKey;
import org.hornbeamusher.ids.RequestId;

/**
 * A validated request that may be run.
 *
 * @param id the request
 * @param document the service document that was current when the request arrived
 * @param caller the caller that sent it
 * @param adapter the adapter that it runs with; empty for a plain service
 * @param endpointCall the HTTP request for the endpoint
 * @param fingerprint hash that identifies its content
 * @param prefixHash hash of the beginning of the prompt; 0 for none
 * @param costTokens expected work in tokens
 * @param maxResponseTokens greatest number of tokens in the response
 * @param deadlineMillis when the response is no longer of use, in milliseconds since the epoch
 * @param idempotencyKey the idempotency key of a request that must run at most once
 */
record AdmittedRequest(
    RequestId id,
    ServiceDocument document,
    CallerId caller,
    Optional<AdapterRef> adapter,
    EndpointCall endpointCall,
    long fingerprint,
    long prefixHash,
    int costTokens,
    int maxResponseTokens,
    long deadlineMillis,
    Optional<IdempotencyKey> idempotencyKey) {

  /**
   * The HTTP request that is sent to the endpoint.
   *
   * @param method the method
   * @param path path and query
   * @param contentType empty for none
   * @param body the request body
   */
  record EndpointCall(String method, String path, String contentType, byte[] body) {}

  boolean repeatable() {
    return idempotencyKey.isEmpty();
  }
}
