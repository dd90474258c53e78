package org.hornbeamusher.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.hornbeamusher.ids.AdapterRef;

/**
 * Tracks adapters whose loads failed and backs off exponentially before each retry.
 *
 * <p>A load fails because of a transient fault of the weight store or the engine, or because the
 * weights are broken and every load will fail. Retrying without a pause would spend the store's two
 * loads a second on an adapter that never loads, while its callers wait for nothing. So a failed
 * load is retried once after {@value #INITIAL_BACK_OFF_MILLIS} ms while its requests wait. After
 * {@value #FAILURES_BEFORE_REFUSAL} failures in a row these requests are refused, with the end of
 * the back-off as their retry time, and so is every request that arrives before that. Each further
 * failure doubles the back-off up to {@value #MAX_BACK_OFF_MILLIS} ms: at that limit thirty broken
 * adapters together cost the store one load a second.
 */
final class LoadFailures {

  private static final int FAILURES_BEFORE_REFUSAL = 2;
  private static final long INITIAL_BACK_OFF_MILLIS = 500;
  private static final long MAX_BACK_OFF_MILLIS = 30_000;

  /** Failures whose back-off ended this long ago are removed. */
  private static final long RETENTION_MILLIS = 10 * MAX_BACK_OFF_MILLIS;

  private final Map<AdapterRef, Failure> failures = new HashMap<>();

  private record Failure(int consecutive, long retryAtMillis) {}

  void failed(AdapterRef adapter, long now) {
    failures.values().removeIf(old -> old.retryAtMillis + RETENTION_MILLIS < now);
    Failure before = failures.getOrDefault(adapter, new Failure(0, now));
    int consecutive = before.consecutive + 1;
    failures.put(adapter, new Failure(consecutive, now + backOff(consecutive)));
  }

  void succeeded(AdapterRef adapter) {
    failures.remove(adapter);
  }

  /** Returns whether a load may be attempted now. */
  boolean mayTry(AdapterRef adapter, long now) {
    Failure failure = failures.get(adapter);
    return failure == null || failure.retryAtMillis <= now;
  }

  /** Returns for how long requests for an adapter are refused, or empty if they may be queued. */
  OptionalLong refusedForMillis(AdapterRef adapter, long now) {
    Failure failure = failures.get(adapter);
    if (failure == null
        || failure.consecutive < FAILURES_BEFORE_REFUSAL
        || failure.retryAtMillis <= now) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(failure.retryAtMillis - now);
  }

  /** Returns when the next load of an adapter may be attempted. */
  long retryAtMillis(AdapterRef adapter, long now) {
    Failure failure = failures.get(adapter);
    return failure == null ? now : Math.max(now, failure.retryAtMillis);
  }

  private static long backOff(int consecutive) {
    int doublings = Math.min(consecutive - 1, 10);
    return Math.min(MAX_BACK_OFF_MILLIS, INITIAL_BACK_OFF_MILLIS << doublings);
  }
}
