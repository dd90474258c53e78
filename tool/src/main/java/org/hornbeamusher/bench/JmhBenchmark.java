package org.hornbeamusher.bench;

import java.util.List;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.ChainedOptionsBuilder;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/** Runs the JMH benchmarks in this process and reports the allocation of each operation. */
public final class JmhBenchmark implements Benchmark {

  private static final int FAILED_STATUS = 1;

  @Override
  public String name() {
    return "jmh";
  }

  @Override
  public String summary() {
    return "[PATTERN ...]  time and allocation of single decisions";
  }

  @Override
  public int run(List<String> arguments) {
    ChainedOptionsBuilder options = new OptionsBuilder().forks(0).addProfiler(GCProfiler.class);
    arguments.forEach(options::include);
    try {
      new Runner(options.build()).run();
      return 0;
    } catch (RunnerException e) {
      System.err.println(e.getMessage());
      return FAILED_STATUS;
    }
  }
}
