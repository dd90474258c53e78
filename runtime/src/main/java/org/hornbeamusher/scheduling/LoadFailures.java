package org.hornbeamusher.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.hornbeamusher.ids.AdapterRef;

/**
 * Remembers which adapters could not be loaded and when each may be tried again.
 *
 * <p>Load pattern: a load fails because the store or the engine had a bad moment, or because the
 * weights are broken and every load will fail. Trying without pause spends the store's two loads a
 * second on an adapter that does not come, and its callers wait for nothing. So a failed load is
 * tried once more after {@value #FIRST_BACK_OFF_MILLIS} ms while its requests wait; after {@value
 * #TRIES_BEFORE_REFUSAL} failures in a row they are refused, with the end of the back-off as their
 * time to come back, and so is every request that arrives before that. Each further failure doubles
 * the back-off up to {@value #GREATEST_BACK_OFF_MILLIS} ms: at that bound thirty broken adapters
 * together cost the store one load a second.
 */
final class LoadFailures {

  private static final int TRIES_BEFORE_REFUSAL = 2;
  private static final long FIRST_BACK_OFF_MILLIS = 500;
  private static final long GREATEST_BACK_OFF_MILLIS = 30_000;

  /** Entries whose back-off ended this long ago are forgotten. */
  private static final long FORGET_AFTER_MILLIS = 10 * GREATEST_BACK_OFF_MILLIS;

  private final Map<AdapterRef, Failure> failures = new HashMap<>();

  private record Failure(int inRow, long retryAtMillis) {}

  void failed(AdapterRef adapter, long now) {
    failures.values().removeIf(old -> old.retryAtMillis + FORGET_AFTER_MILLIS < now);
    Failure before = failures.getOrDefault(adapter, new Failure(0, now));
    int inRow = before.inRow + 1;
    failures.put(adapter, new Failure(inRow, now + backOff(inRow)));
  }

  void succeeded(AdapterRef adapter) {
    failures.remove(adapter);
  }

  /** Tells whether a load may be tried. */
  boolean mayTry(AdapterRef adapter, long now) {
    Failure failure = failures.get(adapter);
    return failure == null || failure.retryAtMillis <= now;
  }

  /** Returns how long requests for an adapter are refused, or empty when they may wait. */
  OptionalLong refusedForMillis(AdapterRef adapter, long now) {
    Failure failure = failures.get(adapter);
    if (failure == null || failure.inRow < TRIES_BEFORE_REFUSAL || failure.retryAtMillis <= now) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(failure.retryAtMillis - now);
  }

  /** Returns when an adapter may be tried next. */
  long retryAtMillis(AdapterRef adapter, long now) {
    Failure failure = failures.get(adapter);
    return failure == null ? now : Math.max(now, failure.retryAtMillis);
  }

  private static long backOff(int inRow) {
    int doublings = Math.min(inRow - 1, 10);
    return Math.min(GREATEST_BACK_OFF_MILLIS, FIRST_BACK_OFF_MILLIS << doublings);
  }
}
