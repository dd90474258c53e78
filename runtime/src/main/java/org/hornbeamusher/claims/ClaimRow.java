package org.hornbeamusher.claims;

import java.util.Optional;
import org.hornbeamusher.ids.ClaimToken;

/**
 * What the table knows of one idempotency key.
 *
 * <p>The states and what leads from one to the next:
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
 * <p>Only the holder of the token leads away from {@link Claimed}. No clock does: an entry that
 * seems dead may be paused and may still have its request at an agent. After the expiry and a grace
 * a claimed row merely <em>reads</em> as unknown. Reopening it then was rejected: it is the one way
 * in which a request could run twice.
 *
 * @param fingerprint hash of what the caller asked for
 * @param attempt counts the claims of this key, from 1
 * @param token the latest claim
 * @param state how far it got
 */
public record ClaimRow(String fingerprint, int attempt, ClaimToken token, State state) {

  /** How far a claim got. */
  public sealed interface State {}

  /**
   * An entry holds the claim.
   *
   * @param expiryMillis no dispatch may start after this
   */
  public record Claimed(long expiryMillis) implements State {}

  /** The request was proven not to have run; one new claim may follow. */
  public record NotRun() implements State {}

  /**
   * The request ran.
   *
   * @param answer its answer, if it is short enough to be kept
   */
  public record Ran(Optional<StoredResponse> answer) implements State {}

  /** The request may have run. */
  public record Unknown() implements State {}

  ClaimRow with(State next) {
    return new ClaimRow(fingerprint, attempt, token, next);
  }
}
