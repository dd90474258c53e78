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
 * <p>The claim is acquired before anything is sent. After a failure, its outcome is stored before
 * the caller receives the failure: a caller that receives {@code not-run} may retry at once and
 * must then be able to claim again. After a success, the outcome is stored after the response is
 * written, so that the caller does not wait for the table; a retry in between is refused because
 * the request is still in progress.
 */
final class ClaimedRun {

  /**
   * How long a failure response waits until the claim's outcome is stored; {@link ClaimStore}
   * continues to retry the write in any case.
   */
  private static final long FINISH_TIMEOUT_MILLIS = 1_000;

  /** The work that runs under the claim. */
  interface Attempts {

    /** Runs the request's attempts and writes the response. */
    void run() throws InterruptedException;
  }

  private final ClaimStore claims;
  private final Clock clock;

  ClaimedRun(ClaimStore claims, Clock clock) {
    this.claims = claims;
    this.clock = clock;
  }

  void run(AdmittedRequest request, IdempotencyKey key, ResponseWriter writer, Attempts attempts)
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
      case ClaimResult.Acquired won -> runAcquired(won.claim(), writer, attempts);
      case ClaimResult.Ran ran -> ran.response().ifPresent(writer::replay);
      default -> throw HornbeamusherException.of(FailureType.INTERNAL, Outcome.UNKNOWN, result);
    }
  }

  private void runAcquired(Claim claim, ResponseWriter writer, Attempts attempts)
      throws InterruptedException {
    try {
      if (!claim.mayDispatch(clock.millis())) {
        throw HornbeamusherException.notRun(FailureType.DEADLINE_PASSED);
      }
      writer.keepCopy(StoredResponse.MAXIMUM_LENGTH);
      attempts.run();
    } catch (HornbeamusherException failed) {
      claims
          .finish(claim, failed.outcome(), Optional.empty())
          .completeOnTimeout(false, FINISH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
          .join();
      throw failed;
    } catch (RuntimeException unexpected) {
      // Without a stored outcome the claim would stay in progress until its expiry, and retries of
      // its caller would be refused until then.
      claims.finish(claim, Outcome.UNKNOWN, Optional.empty());
      throw unexpected;
    }
    claims.finish(claim, Outcome.RAN, writer.keptCopy());
  }
}
