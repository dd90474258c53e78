package org.hornbeamusher.holdings;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamusher.routes.AdapterKey;

/** How much each adapter has lately been asked for; the least wanted one makes way first. */
final class AdapterDemand {

  /** An adapter used once half a minute ago is as good as never used. */
  private static final double HALF_LIFE_MILLIS = 10_000;

  private final Map<AdapterKey, Count> counts = new HashMap<>();

  /** A request asks for an adapter. */
  void add(AdapterKey key, long now) {
    counts.computeIfAbsent(key, unused -> new Count()).add(now);
  }

  /** Returns the requests for an adapter, each forgotten exponentially. */
  double of(AdapterKey key, long now) {
    Count known = counts.get(key);
    return known == null ? 0 : known.at(now);
  }

  private static final class Count {

    private double count;
    private long lastMillis;

    void add(long now) {
      count = at(now) + 1;
      lastMillis = now;
    }

    double at(long now) {
      return count * Math.pow(0.5, Math.max(0, now - lastMillis) / HALF_LIFE_MILLIS);
    }
  }
}
