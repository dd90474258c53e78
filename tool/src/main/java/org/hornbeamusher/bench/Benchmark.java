package org.hornbeamusher.bench;

import java.util.List;

/** A benchmark that {@code bench/run} starts by its name. */
public interface Benchmark {

  /**
   * Returns the name by which {@code bench/run} starts the benchmark.
   *
   * @return one word
   */
  String name();

  /**
   * Returns a summary of the arguments and of what the benchmark measures.
   *
   * @return one line
   */
  String summary();

  /**
   * Runs the benchmark and prints its report to standard output.
   *
   * @param arguments the arguments after the name
   * @return the exit status
   */
  int run(List<String> arguments);
}
