package org.hornbeamusher.entry;

import java.util.Optional;
import org.hornbeamusher.documents.ServiceDocument;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.CallerId;
import org.hornbeamusher.ids.IdempotencyKey;
import org.hornbeamusher.ids.RequestId;

/**
 * A request that was understood and may be run.
 *
 * @param id the request
 * @param document the service's document in force when it came
 * @param caller who sent it
 * @param adapter what it runs on; empty for a plain service
 * @param call the endpoint's HTTP request
 * @param fingerprint identifies its content
 * @param prefixHash identifies the prompt's beginning; 0 for none
 * @param costTokens expected work
 * @param answerTokens most tokens of the answer
 * @param deadlineMillis when its answer is worthless
 * @param onceKey the key of a request that must run at most once
 */
record AdmittedRequest(
    RequestId id,
    ServiceDocument document,
    CallerId caller,
    Optional<AdapterRef> adapter,
    EndpointCall call,
    long fingerprint,
    long prefixHash,
    int costTokens,
    int answerTokens,
    long deadlineMillis,
    Optional<IdempotencyKey> onceKey) {

  /**
   * The HTTP request an endpoint gets.
   *
   * @param method the method
   * @param path path and query
   * @param contentType empty for none
   * @param body the content
   */
  record EndpointCall(String method, String path, String contentType, byte[] body) {}

  boolean repeatable() {
    return onceKey.isEmpty();
  }
}
