package org.hornbeamusher.holdings;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamusher.routes.AdapterKey;

/**
 * Request counts per adapter with exponential decay; the adapter in least demand is evicted first.
 */
final class AdapterDemand {

  /** One request counts for an eighth after 30 s, which is as good as none. */
  private static final double HALF_LIFE_MILLIS = 10_000;

  private final Map<AdapterKey, DecayingCounter> counts = new HashMap<>();

  /** Counts a request for an adapter. */
  void add(AdapterKey key, long now) {
    counts.computeIfAbsent(key, unused -> new DecayingCounter()).add(now);
  }

  /** Returns the exponentially decayed number of requests for an adapter. */
  double estimate(AdapterKey key, long now) {
    DecayingCounter known = counts.get(key);
    return known == null ? 0 : known.valueAt(now);
  }

  private static final class DecayingCounter {

    private double count;
    private long lastMillis;

    void add(long now) {
      count = valueAt(now) + 1;
      lastMillis = now;
    }

    double valueAt(long now) {
      return count * Math.pow(0.5, Math.max(0, now - lastMillis) / HALF_LIFE_MILLIS);
    }
  }
}
