package org.hornbeamusher.claims;

import java.util.Optional;
import org.hornbeamusher.ids.ClaimToken;

/**
 * The row of one idempotency key in the table.
 *
 * <p>State transitions:
 *
 * <pre>
 * (no row) --claim--> Claimed --finish(ran)------> Ran       final
 *                       |  ^--finish(unknown)----> Unknown   final
 *                       |  |
 *        finish(not run)|  |claim by compare-and-set, attempt + 1
 *                       v  |
 *                      NotRun
 * </pre>
 *
 * <p>Only the holder of the token can leave {@link Claimed}; there is no transition by time-out,
 * because an entry that seems dead may only be paused, and its request may still be at an agent.
 * After the expiry and the grace period a claimed row merely <em>reads</em> as unknown. Reopening
 * it then was rejected: it is the only way in which a request could run twice.
 *
 * @param fingerprint hash of the request
 * @param attempt number of claims of this key so far
 * @param token token of the latest claim
 * @param state state of the latest claim
 */
public record ClaimRow(String fingerprint, int attempt, ClaimToken token, State state) {

  /** The state of a claim. */
  public sealed interface State {}

  /**
   * An entry holds the claim.
   *
   * @param expiryMillis time after which no dispatch may start
   */
  public record Claimed(long expiryMillis) implements State {}

  /** The request provably did not run; exactly one new claim may replace this one. */
  public record NotRun() implements State {}

  /**
   * The request ran.
   *
   * @param response its response, if it is short enough to be stored
   */
  public record Ran(Optional<StoredResponse> response) implements State {}

  /** The request may have run. */
  public record Unknown() implements State {}

  ClaimRow withState(State next) {
    return new ClaimRow(fingerprint, attempt, token, next);
  }
}
