package org.hornbeamusher.bench.faults;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Draws the faults of one history.
 *
 * <p>Each history first draws how strongly each fault occurs in it: not at all, as given, or five
 * times as often. So some histories have one fault alone, some two together, some many.
 */
final class Chaos {

  private static final double ABSENT = 0.5;
  private static final double ORDINARY = 0.85;
  private static final double STRONG = 5;

  private final long seed;
  private final Random random;
  private final HistoryReport report;
  private final Map<Fault, Double> strengths = new EnumMap<>(Fault.class);
  private boolean quiet;

  Chaos(long seed, Random random, HistoryReport report) {
    this.seed = seed;
    this.random = random;
    this.report = report;
    for (Fault fault : Fault.values()) {
      double drawn = random.nextDouble();
      strengths.put(fault, drawn < ABSENT ? 0 : drawn < ORDINARY ? 1 : STRONG);
    }
  }

  /** Draws whether a fault occurs now. */
  boolean strikes(Fault fault, double probability) {
    boolean struck = !quiet && random.nextDouble() < probability * strengths.get(fault);
    if (struck) {
      report.drawn(fault);
    }
    return struck;
  }

  /** Ends all faults. */
  void quieten() {
    quiet = true;
  }

  boolean quiet() {
    return quiet;
  }

  long between(long least, long most) {
    return least + (long) (random.nextDouble() * (most - least + 1));
  }

  boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  <T> T one(List<T> choices) {
    return choices.get(random.nextInt(choices.size()));
  }

  Random random() {
    return random;
  }

  void check(Check check, boolean holds, String detail) {
    report.check(check, seed, holds, detail);
  }
}
