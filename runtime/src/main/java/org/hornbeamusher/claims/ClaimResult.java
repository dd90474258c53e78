package org.hornbeamusher.claims;

import java.util.Optional;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;

/** What trying to claim an idempotency key led to. */
public sealed interface ClaimResult {

  /**
   * Returns what the caller is told when the request must not be dispatched.
   *
   * @return empty for {@link Acquired}, and for {@link Ran} with an answer
   */
  default Optional<HornbeamusherException> failure() {
    return switch (this) {
      case Acquired won -> Optional.empty();
      case Ran ran when ran.answer().isPresent() -> Optional.empty();
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
   * This entry, and nobody else, may dispatch the request, once.
   *
   * @param claim the right to do so; it must be ended by {@link ClaimStore#finish}
   */
  record Acquired(Claim claim) implements ClaimResult {}

  /**
   * Another send of the request is running.
   *
   * @param retryAfterMillis when its end is known at the latest, from now
   */
  record InProgress(long retryAfterMillis) implements ClaimResult {}

  /**
   * An earlier send of the request ran.
   *
   * @param answer its answer, if it was kept
   */
  record Ran(Optional<StoredResponse> answer) implements ClaimResult {}

  /** An earlier send of the request may have run; nobody will ever know. */
  record Unknown() implements ClaimResult {}

  /**
   * This send does not run.
   *
   * @param reason {@code INVALID_HEADER}, {@code CLAIM_KEY_EXPIRED}, {@code CLAIM_KEY_MISMATCH} or
   *     {@code CLAIM_UNAVAILABLE}
   */
  record Refused(HornbeamusherException reason) implements ClaimResult {}
}
