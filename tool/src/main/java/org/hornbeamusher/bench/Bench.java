package org.hornbeamusher.bench;

import java.util.List;
import org.hornbeamusher.bench.capacity.CapacityBenchmark;
import org.hornbeamusher.bench.faults.FaultsBenchmark;
import org.hornbeamusher.bench.path.PathBenchmark;
import org.hornbeamusher.bench.policy.PolicyBench;

/** Starts a benchmark by name. */
public final class Bench {

  private static final int USAGE_STATUS = 2;

  /** All benchmarks in the order of the usage text. */
  private static final List<Benchmark> BENCHMARKS =
      List.of(
          new FaultsBenchmark(),
          new PathBenchmark(),
          new PolicyBench(),
          new JmhBenchmark(),
          new CapacityBenchmark());

  private Bench() {}

  /**
   * Runs the benchmark named by the first argument, or prints the usage with all benchmarks.
   *
   * @param args name of the benchmark, then its arguments
   */
  public static void main(String[] args) {
    System.exit(run(List.of(args)));
  }

  static int run(List<String> args) {
    for (Benchmark benchmark : BENCHMARKS) {
      if (!args.isEmpty() && benchmark.name().equals(args.getFirst())) {
        return benchmark.run(args.subList(1, args.size()));
      }
    }
    System.err.println("usage: bench/run NAME [arguments]");
    BENCHMARKS.forEach(b -> System.err.printf("  %-10s %s%n", b.name(), b.summary()));
    return USAGE_STATUS;
  }
}
