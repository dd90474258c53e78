package org.hornbeamusher.bench.faults;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Draws at random which faults occur in one history.
 *
 * <p>For each history and fault a factor is drawn for the probability of the fault: 0, 1 or 5. Thus
 * some histories have a single fault, some a pair and some many at once.
 */
final class FaultInjector {

  private static final double ABSENT_BELOW = 0.5;
  private static final double UNSCALED_BELOW = 0.85;
  private static final double STRONG_FACTOR = 5;

  private final long seed;
  private final Random random;
  private final HistoryReport report;
  private final Map<Fault, Double> probabilityFactors = new EnumMap<>(Fault.class);
  private boolean stopped;

  FaultInjector(long seed, Random random, HistoryReport report) {
    this.seed = seed;
    this.random = random;
    this.report = report;
    for (Fault fault : Fault.values()) {
      double drawn = random.nextDouble();
      probabilityFactors.put(
          fault, drawn < ABSENT_BELOW ? 0 : drawn < UNSCALED_BELOW ? 1 : STRONG_FACTOR);
    }
  }

  /** Draws whether a fault occurs now, and counts it in the report. */
  boolean occurs(Fault fault, double probability) {
    boolean occurred =
        !stopped && random.nextDouble() < probability * probabilityFactors.get(fault);
    if (occurred) {
      report.faultOccurred(fault);
    }
    return occurred;
  }

  /** Stops all faults for the rest of the history. */
  void stopFaults() {
    stopped = true;
  }

  boolean stopped() {
    return stopped;
  }

  long between(long min, long max) {
    return min + (long) (random.nextDouble() * (max - min + 1));
  }

  boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  <T> T pick(List<T> choices) {
    return choices.get(random.nextInt(choices.size()));
  }

  Random random() {
    return random;
  }

  void check(Invariant invariant, boolean holds, String detail) {
    report.check(invariant, seed, holds, detail);
  }
}
