package org.hornbeamusher.bench.faults;

import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.hornbeamusher.bench.Benchmark;

/** Simulates many histories with faults: {@code bench/run faults SEED COUNT}. */
public final class FaultsBenchmark implements Benchmark {

  /**
   * Logger to switch off: outages and changes are injected in large numbers, and their log lines
   * would obscure the report.
   */
  private static final Logger EVENTS = Logger.getLogger("org.hornbeamusher");

  private static final int USAGE_STATUS = 2;
  private static final int VIOLATION_STATUS = 1;

  @Override
  public String name() {
    return "faults";
  }

  @Override
  public String summary() {
    return "SEED COUNT: draws COUNT histories of faults from SEED on and checks each";
  }

  @Override
  public int run(List<String> arguments) {
    long seed;
    long count;
    try {
      seed = Long.parseLong(arguments.get(0));
      count = Long.parseLong(arguments.get(1));
    } catch (NumberFormatException | IndexOutOfBoundsException e) {
      System.err.println("usage: bench/run faults SEED COUNT");
      return USAGE_STATUS;
    }
    EVENTS.setLevel(Level.OFF);
    HistoryReport total = FaultHistory.drawMany(seed, count, InjectedDefect.NONE);
    print(total, seed, count);
    return total.violationCount() == 0 ? 0 : VIOLATION_STATUS;
  }

  private static void print(HistoryReport total, long seed, long count) {
    System.out.printf("histories: %d, seeds %d to %d%n", count, seed, seed + count - 1);
    System.out.println("faults drawn:");
    for (Fault fault : Fault.values()) {
      System.out.printf("  %-20s %10d%n", fault, total.faults().getOrDefault(fault, 0L));
    }
    System.out.println("checks made:");
    for (Invariant check : Invariant.values()) {
      System.out.printf("  %-20s %10d%n", check, total.checked().getOrDefault(check, 0L));
    }
    total
        .violations()
        .forEach(
            one ->
                System.out.printf(
                    "violation: %s, seed %d: %s%n", one.invariant(), one.seed(), one.detail()));
    System.out.printf("violations: %d%n", total.violationCount());
  }
}
