package org.hornbeamusher.retry;

import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.Outcome;

/**
 * Decides whether a failed attempt is retried. Not thread-safe.
 *
 * <p><b>Load.</b> If one endpoint of many fails, retries hide the failure from callers. If all
 * endpoints fail or are full, retries multiply the load on the remaining ones and prevent recovery.
 * A limit per request does not distinguish the two cases: three attempts per request triple the
 * load just when everything fails. The retry budget is therefore a ratio of the successes, so that
 * retries stop when successes do.
 *
 * <p>The rules are ordered by what they protect. A response that has begun to reach its caller
 * cannot be restarted. A request that ran, or that may have run and must not run twice, is not
 * retried. A request that was running at two endpoints when they crashed probably caused both
 * crashes. Then follow the limits that protect the system: attempts, remaining time and budget.
 *
 * <p>Example: 100 requests a second while all endpoints are down. The 10 saved retries are used
 * within the first 100 ms, then one every ten seconds; the load stays at 100 a second. With three
 * attempts per request and no budget it would be 300.
 */
public final class RetryPolicy {

  /** One crash may be a coincidence; a second one is attributed to the request. */
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
   * Decides whether a failed attempt is retried.
   *
   * @param failure the failed attempt
   * @param now current time in milliseconds
   * @return the decision
   */
  public RetryDecision decide(AttemptFailure failure, long now) {
    if (failure.crashes() > MAXIMUM_CRASHES) {
      return new RetryDecision.GiveUp(FailureType.QUARANTINED, failure.outcome());
    }
    if (failure.bytesDelivered() || !mayRunAgain(failure) || !mayWorkElsewhere(failure.type())) {
      return new RetryDecision.GiveUp(failure.type(), failure.outcome());
    }
    long backoff = backoff(failure);
    if (backoff >= failure.remainingMillis()) {
      return new RetryDecision.GiveUp(FailureType.DEADLINE_PASSED, failure.outcome());
    }
    if (failure.attempts() >= settings.maxAttempts() || !budget.tryTake(now)) {
      return new RetryDecision.GiveUp(exhaustedType(failure), failure.outcome());
    }
    return new RetryDecision.Retry(backoff, true);
  }

  /**
   * Records a complete response, which earns a fraction of a retry.
   *
   * @param now current time in milliseconds
   */
  public void succeeded(long now) {
    budget.succeeded();
  }

  /** Keeps the type of a "not run" refusal, which tells the caller more than exhausted retries. */
  private static FailureType exhaustedType(AttemptFailure failure) {
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

  /** Returns whether the request may succeed at another endpoint. */
  private static boolean mayWorkElsewhere(FailureType type) {
    return switch (type) {
      case ENDPOINT_FAILED,
          ENDPOINT_LOST,
          LOAD_FAILED,
          ANSWER_CUT,
          RESPONSE_UNBOUNDED,
          RESPONSE_MALFORMED,
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

  /** Without back-off for a leaving endpoint, because that says nothing about the others. */
  private long backoff(AttemptFailure failure) {
    if (failure.type() == FailureType.ENDPOINT_LEAVING) {
      return 0;
    }
    int doublings = Math.min(failure.attempts() - 1, Integer.SIZE - 2);
    long ceiling = settings.baseBackoffMillis() << Math.max(0, doublings);
    ceiling = Math.min(ceiling, settings.maximumBackoffMillis());
    return ceiling / 2 + (long) (nextRandom() * ceiling / 2);
  }

  /** Adds jitter, so that requests that failed together are not retried together. */
  private double nextRandom() {
    jitterState += WEYL_STEP;
    long mixed = jitterState;
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return ((mixed ^ (mixed >>> 31)) >>> (Long.SIZE - RANDOM_BITS)) * 0x1.0p-53;
  }
}
