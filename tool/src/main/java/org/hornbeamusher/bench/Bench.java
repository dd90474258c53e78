package org.hornbeamusher.bench;

import java.util.List;
import org.hornbeamusher.bench.capacity.CapacityBenchmark;
import org.hornbeamusher.bench.faults.FaultsBenchmark;
import org.hornbeamusher.bench.path.PathBenchmark;
import org.hornbeamusher.bench.policy.PolicyBench;

/** Starts a benchmark by name. */
public final class Bench {

  private static final int USAGE_STATUS = 2;

  /** Every benchmark, in the order they are listed. */
  private static final List<Benchmark> BENCHMARKS =
      List.of(
          new FaultsBenchmark(),
          new PathBenchmark(),
          new PolicyBench(),
          new JmhBenchmark(),
          new CapacityBenchmark());

  private Bench() {}

  /**
   * Runs the benchmark that the first argument names, or lists all.
   *
   * @param args a name and the benchmark's own arguments
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
