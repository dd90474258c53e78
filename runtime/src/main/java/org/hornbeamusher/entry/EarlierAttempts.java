package org.hornbeamusher.entry;

import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;

/**
 * Tracks whether an earlier attempt may have run, and corrects the outcome of the final failure.
 *
 * <p>An attempt that was interrupted may have run. If no endpoint can take the retry, the refusal
 * ({@code not-run}) holds for the retry alone; passed on unchanged, it would tell the caller that
 * the request did not run.
 */
final class EarlierAttempts {

  private boolean mayHaveRun;

  /** Records the outcome of a failed attempt. */
  void failed(Outcome outcome) {
    mayHaveRun |= !outcome.equals(Outcome.NOT_RUN);
  }

  /** Returns the failure to report for the request as a whole. */
  HornbeamusherException withOutcome(HornbeamusherException last) {
    if (!mayHaveRun || !last.outcome().equals(Outcome.NOT_RUN)) {
      return last;
    }
    return HornbeamusherException.of(
            FailureType.RETRIES_EXHAUSTED, Outcome.UNKNOWN, last.type().label())
        .causedBy(last);
  }
}
