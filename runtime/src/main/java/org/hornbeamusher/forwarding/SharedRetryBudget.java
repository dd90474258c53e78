package org.hornbeamusher.forwarding;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamusher.ratelimit.SlidingWindowCounter;

/**
 * Bounds how many retries each service gets from this entry, so that all entries together stay
 * within a budget: in any window, a ratio of the requests for the service plus a fixed number.
 *
 * <p><b>Load.</b> When endpoints crash or refuse, every entry retries. Without a bound the retries
 * of all entries together add enough load to keep the endpoints from recovering.
 *
 * <p><b>Algorithm.</b> Each entry has a token bucket for each service. It earns a fraction of the
 * budget: the ratio of each of its own requests, and its even share of the fixed number, spread
 * evenly over the window. It saves at most what it earned in the last quarter of a window, and
 * starts empty.
 *
 * <p>The retries that arrive in a window were therefore earned in it or in the quarter before it,
 * whichever processes earned them. So the sum stays within the budget however often entries are
 * restarted or replaced, and when callers move from one entry to another. A count of the retries in
 * the last window would not do: each new process would start with a count of zero.
 *
 * <p>A granted retry that has not been sent yet counts as saved, because it may wait for a load,
 * and the retries of two windows must not arrive in one.
 */
final class SharedRetryBudget {

  /** The unused part covers entries that others do not know yet, and the time until arrival. */
  private static final double USED_FRACTION = 0.75;

  /** The fraction of a window for which earned retries are saved. */
  private static final double SAVED_FRACTION = 0.25;

  private final ServiceRetrySettings settings;
  private final long savedMillis;
  private final long startMillis;
  private final Map<String, TokenBucket> services = new HashMap<>();

  SharedRetryBudget(ServiceRetrySettings settings, long now) {
    this.settings = settings;
    this.savedMillis = Math.round(settings.windowMillis() * SAVED_FRACTION);
    this.startMillis = now;
  }

  /** Earns the retries of a request. */
  void recordRequest(String service, long now) {
    bucket(service).recordRequest(now);
  }

  /**
   * Takes one retry if available. It must be followed by {@link #retrySent} or {@link
   * #retryUnused}.
   *
   * @param service the service
   * @param entries number of entries that share the budget
   * @param now milliseconds
   * @return whether it was taken
   */
  boolean tryTake(String service, int entries, long now) {
    return bucket(service).tryTake(entries, now);
  }

  /** Records that a retry that was taken is being sent. */
  void retrySent(String service) {
    bucket(service).unsent--;
  }

  /** Returns a retry that was taken and will not be sent. */
  void retryUnused(String service) {
    TokenBucket bucket = bucket(service);
    bucket.unsent--;
    bucket.tokens++;
  }

  /** Returns the state of the budget of a service, for the log. */
  State state(String service, long now) {
    TokenBucket bucket = bucket(service);
    return new State(
        bucket.recentRequests.total(now), bucket.tokens, bucket.unsent, now - startMillis);
  }

  private TokenBucket bucket(String service) {
    return services.computeIfAbsent(service, unused -> new TokenBucket());
  }

  /**
   * The state of the budget of a service.
   *
   * @param recentRequests requests in the time for which retries are saved
   * @param saved retries that may be taken
   * @param unsent retries that were taken and have not been sent
   * @param ageMillis time since this entry started
   */
  record State(long recentRequests, double saved, int unsent, long ageMillis) {}

  /** The budget of one service at this entry. */
  private final class TokenBucket {

    private final SlidingWindowCounter recentRequests = new SlidingWindowCounter(savedMillis);
    private double tokens;
    private int unsent;
    private long lastMillis = startMillis;

    void recordRequest(long now) {
      recentRequests.add(now);
      tokens += USED_FRACTION * settings.retryRatio();
    }

    boolean tryTake(int entries, long now) {
      refill(USED_FRACTION * settings.fixedRetries() / Math.max(1, entries), now);
      if (tokens < 1) {
        return false;
      }
      tokens--;
      unsent++;
      return true;
    }

    private void refill(double fixedPerWindow, long now) {
      double windows = (double) Math.max(0, now - lastMillis) / settings.windowMillis();
      lastMillis = Math.max(lastMillis, now);
      double savedRequests = USED_FRACTION * settings.retryRatio() * recentRequests.total(now);
      // With a capacity below one, a share that is small would never allow a retry.
      double capacity = Math.max(1, savedRequests + SAVED_FRACTION * fixedPerWindow);
      tokens = Math.min(tokens + windows * fixedPerWindow, Math.max(0, capacity - unsent));
    }
  }
}
