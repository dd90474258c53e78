package org.hornbeamusher.retry;

import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.Outcome;

/**
 * Decides whether a failed attempt is repeated. Not safe for use by several threads at once.
 *
 * <p><b>Pattern.</b> One endpoint fails among many: repeating hides it from callers. All endpoints
 * fail or are full: repeating multiplies the load on what is left, and what could have recovered
 * does not. A limit per request does not tell the two apart, because three attempts for each
 * request triple the load just when everything fails. Hence the budget: retries are a share of
 * successes, so they end by themselves when successes do.
 *
 * <p>The order of the rules is the order of what they protect. An answer that has begun to reach
 * its caller cannot be begun again. A request that ran, or may have run and must not run twice, is
 * not repeated. A request that was running at two crashed endpoints is the likely cause of both.
 * Only then come limits that protect the system: attempts, time left, budget.
 *
 * <p>Example: 100 requests a second, all endpoints gone. The saved-up 10 retries are used in the
 * first 100 ms, then one in ten seconds; the load stays at 100 a second. With three attempts each
 * and no budget it would be 300.
 */
public final class RetryPolicy {

  /** A second crash ends the request: one is bad luck, two are the request's own doing. */
  private static final int MAXIMUM_CRASHES = 1;

  /** 2^64 divided by the golden ratio: Weyl sequence step of SplitMix64 (Steele et al., 2014). */
  private static final long WEYL_STEP = 0x9E3779B97F4A7C15L;

  private static final int RANDOM_BITS = 53;

  private final RetrySettings settings;
  private final RetryBudget budget;
  private long jitterState;

  /**
   * Creates a policy with a full budget.
   *
   * @param settings limits and budget
   */
  public RetryPolicy(RetrySettings settings) {
    this.settings = settings;
    this.budget = new RetryBudget(settings, 0);
  }

  /**
   * Decides about a failed attempt.
   *
   * @param failure how it failed
   * @param now milliseconds
   * @return what follows
   */
  public RetryDecision decide(AttemptFailure failure, long now) {
    if (failure.crashes() > MAXIMUM_CRASHES) {
      return new RetryDecision.GiveUp(FailureType.QUARANTINED, failure.outcome());
    }
    if (failure.bytesDelivered() || !mayRunAgain(failure) || !elsewhereMayDiffer(failure.type())) {
      return new RetryDecision.GiveUp(failure.type(), failure.outcome());
    }
    long backoff = backoff(failure);
    if (backoff >= failure.remainingMillis()) {
      return new RetryDecision.GiveUp(FailureType.DEADLINE_PASSED, failure.outcome());
    }
    if (failure.attempts() >= settings.attemptLimit() || !budget.tryTake(now)) {
      return new RetryDecision.GiveUp(exhausted(failure), failure.outcome());
    }
    return new RetryDecision.Retry(backoff, true);
  }

  /**
   * Records a whole answer, which earns a share of a retry.
   *
   * @param now milliseconds
   */
  public void succeeded(long now) {
    budget.succeeded();
  }

  /** A refusal that proves the request was not run says more than that it is not repeated. */
  private static FailureType exhausted(AttemptFailure failure) {
    boolean notRun = failure.outcome() instanceof Outcome.NotRun;
    return notRun ? failure.type() : FailureType.RETRIES_EXHAUSTED;
  }

  private static boolean mayRunAgain(AttemptFailure failure) {
    return switch (failure.outcome()) {
      case Outcome.NotRun notRun -> true;
      case Outcome.Ran ran -> false;
      case Outcome.Unknown unknown -> failure.repeatable();
    };
  }

  /** Whether another endpoint may do what this one could not. */
  private static boolean elsewhereMayDiffer(FailureType type) {
    return switch (type) {
      case ENDPOINT_FAILED,
          ENDPOINT_LOST,
          LOAD_FAILED,
          ANSWER_CUT,
          DISPATCH_EXPIRED,
          ENDPOINT_LEAVING,
          WRONG_ADAPTER,
          QUEUE_FULL,
          DEADLINE_TOO_NEAR,
          SHUTTING_DOWN,
          FRAME_MALFORMED,
          CONNECTION_SILENT,
          CONNECTION_CLOSED,
          CONNECT_FAILED ->
          true;
      default -> false;
    };
  }

  /** A leaving endpoint says nothing about the others, so the next attempt need not wait. */
  private long backoff(AttemptFailure failure) {
    if (failure.type() == FailureType.ENDPOINT_LEAVING) {
      return 0;
    }
    int doublings = Math.min(failure.attempts() - 1, Integer.SIZE - 2);
    long ceiling = settings.baseBackoffMillis() << Math.max(0, doublings);
    ceiling = Math.min(ceiling, settings.maximumBackoffMillis());
    return ceiling / 2 + (long) (nextRandom() * ceiling / 2);
  }

  /** Spreads the retries of requests that failed together, so that they do not arrive together. */
  private double nextRandom() {
    jitterState += WEYL_STEP;
    long mixed = jitterState;
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return ((mixed ^ (mixed >>> 31)) >>> (Long.SIZE - RANDOM_BITS)) * 0x1.0p-53;
  }
}
