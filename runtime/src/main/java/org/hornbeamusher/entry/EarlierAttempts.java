package org.hornbeamusher.entry;

import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;

/**
 * What the attempts so far mean for the final answer to a request.
 *
 * <p>An attempt that broke off may have run. When nothing can take the repeat, the refusal of the
 * repeat is true of the repeat alone; passed on as it is, the caller would read that its request
 * did not run.
 */
final class EarlierAttempts {

  private boolean mayHaveRun;

  /** Takes in how an attempt ended. */
  void failed(Outcome outcome) {
    mayHaveRun |= !outcome.equals(Outcome.NOT_RUN);
  }

  /** Returns the failure that holds for the whole request. */
  HornbeamusherException withOutcome(HornbeamusherException last) {
    if (!mayHaveRun || !last.outcome().equals(Outcome.NOT_RUN)) {
      return last;
    }
    return HornbeamusherException.of(
            FailureType.RETRIES_EXHAUSTED, Outcome.UNKNOWN, last.type().label())
        .causedBy(last);
  }
}
