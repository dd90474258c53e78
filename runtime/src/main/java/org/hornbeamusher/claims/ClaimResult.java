package org.hornbeamusher.claims;

import java.util.Optional;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;

/** The result of trying to claim an idempotency key. */
public sealed interface ClaimResult {

  /**
   * Returns the failure to report to the caller when the request must not be dispatched.
   *
   * @return empty for {@link Acquired}, and for {@link Ran} with a stored response
   */
  default Optional<HornbeamusherException> failure() {
    return switch (this) {
      case Acquired won -> Optional.empty();
      case Ran ran when ran.response().isPresent() -> Optional.empty();
      case Ran ran ->
          Optional.of(HornbeamusherException.of(FailureType.CLAIM_ALREADY_RAN, Outcome.RAN));
      case InProgress progress ->
          Optional.of(
              HornbeamusherException.of(FailureType.CLAIM_IN_PROGRESS, Outcome.UNKNOWN)
                  .retryAfter(progress.retryAfterMillis()));
      case Unknown unknown ->
          Optional.of(
              HornbeamusherException.of(FailureType.CLAIM_OUTCOME_UNKNOWN, Outcome.UNKNOWN));
      case Refused refused -> Optional.of(refused.reason());
    };
  }

  /**
   * This entry acquired the claim; it alone may dispatch the request, once.
   *
   * @param claim the claim; it must be finished by {@link ClaimStore#finish}
   */
  record Acquired(Claim claim) implements ClaimResult {}

  /**
   * The request is already running under another claim.
   *
   * @param retryAfterMillis milliseconds from now until its outcome is known at the latest
   */
  record InProgress(long retryAfterMillis) implements ClaimResult {}

  /**
   * The request has already run under an earlier claim.
   *
   * @param response its response, if it was stored
   */
  record Ran(Optional<StoredResponse> response) implements ClaimResult {}

  /** The request may have run under an earlier claim; whether it did cannot be determined. */
  record Unknown() implements ClaimResult {}

  /**
   * The request is refused and does not run.
   *
   * @param reason {@code INVALID_HEADER}, {@code CLAIM_KEY_EXPIRED}, {@code CLAIM_KEY_MISMATCH} or
   *     {@code CLAIM_UNAVAILABLE}
   */
  record Refused(HornbeamusherException reason) implements ClaimResult {}
}
