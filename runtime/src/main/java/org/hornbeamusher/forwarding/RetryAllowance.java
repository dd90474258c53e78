package org.hornbeamusher.forwarding;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds how many retries each service gets from this entry.
 *
 * <p><b>Load.</b> When endpoints crash or refuse, every entry retries. Without a bound the retries
 * of all entries together add enough load to keep the endpoints from recovering.
 *
 * <p>In any window all entries together may retry a ratio of the requests plus a fixed number. They
 * do not coordinate: each uses the ratio of its own requests and an equal part of the fixed number,
 * less a margin for entries that are not known yet and for the sliding of windows.
 */
final class RetryAllowance {

  /** The unused part of the limit covers entries that have just started or just left. */
  private static final double USED_FRACTION = 0.75;

  private final ServiceRetrySettings settings;
  private final Map<String, ServiceWindow> services = new HashMap<>();

  private final long startMillis;

  RetryAllowance(ServiceRetrySettings settings, long now) {
    this.settings = settings;
    this.startMillis = now;
  }

  /** Returns what a decision about a service is based on. */
  Usage usage(String service, long now) {
    ServiceWindow window = window(service);
    return new Usage(window.requests.total(now), window.retries.total(now), now - startMillis);
  }

  /**
   * What a decision about a service is based on.
   *
   * @param requests requests for the service in the window
   * @param retries retries granted in the window
   * @param ageMillis time since this entry started
   */
  record Usage(long requests, long retries, long ageMillis) {}

  void recordRequest(String service, long now) {
    window(service).requests.add(now);
  }

  /** Takes one retry; returns false if none is left. */
  boolean tryTake(String service, int entries, long now) {
    ServiceWindow window = window(service);
    double fixed = settings.fixedRetries() * USED_FRACTION / Math.max(1, entries);
    double allowed = settings.retryRatio() * USED_FRACTION * window.requests.total(now) + fixed;
    if (window.retries.total(now) + 1 > allowed) {
      return false;
    }
    window.retries.add(now);
    return true;
  }

  private ServiceWindow window(String service) {
    return services.computeIfAbsent(service, unused -> new ServiceWindow(settings.windowMillis()));
  }

  private static final class ServiceWindow {

    private final SlidingWindowCounter requests;
    private final SlidingWindowCounter retries;

    ServiceWindow(long windowMillis) {
      requests = new SlidingWindowCounter(windowMillis);
      retries = new SlidingWindowCounter(windowMillis);
    }
  }
}
