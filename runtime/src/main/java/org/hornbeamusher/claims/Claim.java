package org.hornbeamusher.claims;

import org.hornbeamusher.ids.ClaimToken;
import org.hornbeamusher.ids.ServiceName;

/**
 * The right to run one non-repeatable request, held by one entry.
 *
 * @param service the service
 * @param key the caller's key
 * @param token tells this claim from others of the same key
 * @param fingerprint hash of what the caller asked for
 * @param attempt counts the claims of this key, from 1
 * @param expiryMillis no dispatch may start after this; every dispatch carries it, so that a
 *     request which an entry sends late, after a pause, is dropped by the agent
 */
public record Claim(
    ServiceName service,
    ClaimKey key,
    ClaimToken token,
    String fingerprint,
    int attempt,
    long expiryMillis) {

  /**
   * Tells whether the request may still be dispatched. An entry asks right before it sends; one
   * that was paused past the expiry ends the claim as not run instead.
   *
   * @param now milliseconds
   * @return whether the expiry lies ahead
   */
  public boolean mayDispatch(long now) {
    return now < expiryMillis;
  }
}
