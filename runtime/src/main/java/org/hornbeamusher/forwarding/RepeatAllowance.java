package org.hornbeamusher.forwarding;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds how many sends beyond the first each service gets from this entry.
 *
 * <p><b>Load.</b> Endpoints that crash or refuse make every entry send again. Without a bound the
 * repeats of all entries together are a load of their own that keeps the endpoints from recovering.
 *
 * <p>All entries together may repeat a share of the requests plus a fixed number in any window.
 * They do not talk about it: each takes the share of its own requests, and an equal part of the
 * fixed number, less a margin for entries that are not known yet and for windows that slide.
 */
final class RepeatAllowance {

  /** What is left of the fixed number covers entries that have just started or have just left. */
  private static final double USED_SHARE = 0.75;

  private final RepeatSettings settings;
  private final Map<String, ServiceWindow> services = new HashMap<>();

  RepeatAllowance(RepeatSettings settings) {
    this.settings = settings;
  }

  void requested(String service, long now) {
    window(service).requests.add(now);
  }

  /** Takes one repeat, or returns false when none is left. */
  boolean tryTake(String service, int entries, long now) {
    ServiceWindow window = window(service);
    double fixed = settings.fixed() * USED_SHARE / Math.max(1, entries);
    double allowed = settings.share() * USED_SHARE * window.requests.total(now) + fixed;
    if (window.repeats.total(now) + 1 > allowed) {
      return false;
    }
    window.repeats.add(now);
    return true;
  }

  private ServiceWindow window(String service) {
    return services.computeIfAbsent(service, unused -> new ServiceWindow(settings.windowMillis()));
  }

  private static final class ServiceWindow {

    private final WindowCount requests;
    private final WindowCount repeats;

    ServiceWindow(long windowMillis) {
      requests = new WindowCount(windowMillis);
      repeats = new WindowCount(windowMillis);
    }
  }
}
