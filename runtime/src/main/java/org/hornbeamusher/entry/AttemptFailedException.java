package org.hornbeamusher.entry;

import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.routing.AttemptResult;

/** Thrown when one attempt of a request failed; the request may be retried. */
final class AttemptFailedException extends Exception {

  private static final long serialVersionUID = 1L;

  private final HornbeamusherException failure;
  private final transient AttemptResult result;
  private final boolean crashed;

  AttemptFailedException(HornbeamusherException failure, AttemptResult result, boolean crashed) {
    super(failure);
    this.failure = failure;
    this.result = result;
    this.crashed = crashed;
  }

  HornbeamusherException failure() {
    return failure;
  }

  AttemptResult result() {
    return result;
  }

  /** Tells whether the endpoint crashed while it ran the attempt. */
  boolean crashed() {
    return crashed;
  }
}
