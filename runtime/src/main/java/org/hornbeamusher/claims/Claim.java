package org.hornbeamusher.claims;

import org.hornbeamusher.ids.ClaimToken;
import org.hornbeamusher.ids.ServiceName;

/**
 * One entry's exclusive right to run a non-idempotent request.
 *
 * @param service the service
 * @param key the caller's idempotency key
 * @param token unique id of this claim, to distinguish it from other claims of the same key
 * @param fingerprint hash of the request
 * @param attempt number of this claim among the claims of its key, starting at 1
 * @param expiryMillis time after which no dispatch may start; every dispatch carries it, so that
 *     the agent drops a request that the entry sends too late, for example after a pause
 */
public record Claim(
    ServiceName service,
    ClaimKey key,
    ClaimToken token,
    String fingerprint,
    int attempt,
    long expiryMillis) {

  /**
   * Returns whether the request may still be dispatched. An entry checks this immediately before
   * dispatch; if it was paused past the expiry, it finishes the claim as not run instead.
   *
   * @param now current time in milliseconds
   * @return whether the claim has not expired
   */
  public boolean mayDispatch(long now) {
    return now < expiryMillis;
  }
}
