package org.hornbeamusher.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Progress of the transfers that share a weight store.
 *
 * <p>One transfer alone runs at full speed. Several share {@link #SHARED_SPEED} of it in equal
 * parts, so that two loads at once take longer than the same two one after the other.
 */
final class WeightTransfers {

  /** Part of the full speed that is left when several transfers run at once. */
  static final double SHARED_SPEED = 0.7;

  private final double fullSpeedMillis;
  private final Map<Long, Double> remaining = new LinkedHashMap<>();
  private double slowdown = 1;
  private long lastMillis;

  /**
   * Creates an idle store.
   *
   * @param fullSpeedMillis how long one transfer alone takes
   */
  WeightTransfers(long fullSpeedMillis) {
    this.fullSpeedMillis = fullSpeedMillis;
  }

  void begin(long id, long now) {
    if (remaining.isEmpty()) {
      lastMillis = now;
    }
    remaining.put(id, fullSpeedMillis);
  }

  void slowdown(double factor) {
    slowdown = factor;
  }

  int active() {
    return remaining.size();
  }

  /** Moves time on and returns the transfers that are complete, oldest first. */
  List<Long> completed(long now) {
    List<Long> done = new ArrayList<>();
    double left = now - lastMillis;
    lastMillis = now;
    while (left > 0 && !remaining.isEmpty()) {
      double speed = speedOfEach();
      double shortest = remaining.values().stream().mapToDouble(d -> d).min().orElseThrow();
      double elapsed = Math.min(left, shortest / speed);
      double progress = elapsed * speed;
      remaining.replaceAll((id, rest) -> rest - progress);
      remaining
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
    int n = remaining.size();
    return (n == 1 ? 1.0 : SHARED_SPEED / n) / slowdown;
  }
}
