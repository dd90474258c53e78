package org.hornbeamusher.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Simulates the progress of concurrent transfers from a weight store.
 *
 * <p>A single transfer runs at full speed. Concurrent transfers share {@link
 * #CONCURRENT_SPEED_FRACTION} of it in equal parts, so that two concurrent loads take longer than
 * two sequential ones.
 */
final class WeightTransfers {

  /** Total speed of concurrent transfers as a fraction of the full speed. */
  static final double CONCURRENT_SPEED_FRACTION = 0.7;

  private final double fullSpeedMillis;
  private final Map<Long, Double> remainingMillis = new LinkedHashMap<>();
  private double slowdown = 1;
  private long lastMillis;

  /**
   * Creates a simulation without transfers.
   *
   * @param fullSpeedMillis duration of a transfer when no other transfer runs
   */
  WeightTransfers(long fullSpeedMillis) {
    this.fullSpeedMillis = fullSpeedMillis;
  }

  void begin(long id, long now) {
    if (remainingMillis.isEmpty()) {
      lastMillis = now;
    }
    remainingMillis.put(id, fullSpeedMillis);
  }

  void setSlowdown(double factor) {
    slowdown = factor;
  }

  int activeCount() {
    return remainingMillis.size();
  }

  /** Advances the time and returns the transfers that completed, oldest first. */
  List<Long> advanceTo(long now) {
    List<Long> done = new ArrayList<>();
    double left = now - lastMillis;
    lastMillis = now;
    while (left > 0 && !remainingMillis.isEmpty()) {
      double speed = speedOfEach();
      double shortest = remainingMillis.values().stream().mapToDouble(d -> d).min().orElseThrow();
      double elapsed = Math.min(left, shortest / speed);
      double progress = elapsed * speed;
      remainingMillis.replaceAll((id, rest) -> rest - progress);
      remainingMillis
          .entrySet()
          .removeIf(
              entry -> {
                boolean complete = entry.getValue() < 1e-6;
                if (complete) {
                  done.add(entry.getKey());
                }
                return complete;
              });
      left -= elapsed;
    }
    return done;
  }

  private double speedOfEach() {
    int n = remainingMillis.size();
    return (n == 1 ? 1.0 : CONCURRENT_SPEED_FRACTION / n) / slowdown;
  }
}
