package org.hornbeamusher.entry;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hornbeamusher.claims.Claim;
import org.hornbeamusher.claims.ClaimResult;
import org.hornbeamusher.claims.ClaimStore;
import org.hornbeamusher.claims.StoredResponse;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.ids.IdempotencyKey;

/**
 * Runs a request that must run at most once under its claim.
 *
 * <p>The claim is won before anything is sent, and its end is written before the caller is told of
 * a failure: a caller that is told {@code not-run} may send again at once and must then find the
 * row open. The end of a good answer is written after the answer, which the caller has waited for
 * long enough; a caller that asks again in between is told that the request is running.
 */
final class ClaimedRun {

  /** How long a failure's answer waits for its claim's end; the keeper tries on in any case. */
  private static final long END_WAIT_MILLIS = 1_000;

  /** What runs under the claim. */
  interface Attempts {

    /** Runs the request's attempts and writes the answer. */
    void run() throws InterruptedException;
  }

  private final ClaimStore claims;
  private final Clock clock;

  ClaimedRun(ClaimStore claims, Clock clock) {
    this.claims = claims;
    this.clock = clock;
  }

  void run(AdmittedRequest request, IdempotencyKey key, AnswerWriter writer, Attempts attempts)
      throws InterruptedException {
    ClaimResult result =
        claims
            .claim(
                request.document().service(),
                key,
                Long.toHexString(request.fingerprint()),
                request.deadlineMillis())
            .join();
    Optional<HornbeamusherException> failure = result.failure();
    if (failure.isPresent()) {
      throw failure.get();
    }
    switch (result) {
      case ClaimResult.Acquired won -> runWon(won.claim(), writer, attempts);
      case ClaimResult.Ran ran -> ran.answer().ifPresent(writer::replay);
      default -> throw HornbeamusherException.of(FailureType.INTERNAL, Outcome.UNKNOWN, result);
    }
  }

  private void runWon(Claim claim, AnswerWriter writer, Attempts attempts)
      throws InterruptedException {
    try {
      if (!claim.mayDispatch(clock.millis())) {
        throw HornbeamusherException.notRun(FailureType.DEADLINE_PASSED);
      }
      writer.keep(StoredResponse.MAXIMUM_LENGTH);
      attempts.run();
    } catch (HornbeamusherException failed) {
      claims
          .finish(claim, failed.outcome(), Optional.empty())
          .completeOnTimeout(false, END_WAIT_MILLIS, TimeUnit.MILLISECONDS)
          .join();
      throw failed;
    } catch (RuntimeException unexpected) {
      // Without an end the claim would read as in progress until its expiry, and its caller wait.
      claims.finish(claim, Outcome.UNKNOWN, Optional.empty());
      throw unexpected;
    }
    claims.finish(claim, Outcome.RAN, writer.kept());
  }
}
