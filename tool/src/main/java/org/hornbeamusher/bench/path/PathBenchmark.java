package org.hornbeamusher.bench.path;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;
import org.hornbeamusher.bench.Benchmark;
import org.hornbeamusher.load.LoadReport;

/**
 * Compares sending a load directly to an engine with sending it through entry and agent.
 *
 * <p>Both paths run in the same process, against two engines with the same settings, in alternating
 * rounds; the table gives the median and the range of the rounds. The load generator, the engines
 * and the system under test share the cores of the machine, so a rate near the limit of the machine
 * says little about an entry on an instance of its own.
 */
public final class PathBenchmark implements Benchmark {

  private static final int ROUNDS = 3;
  private static final double MICROS_PER_MILLI = 1e3;

  /**
   * The loads, from one that measures latency to one that measures the maximum rate. All use one
   * engine: with several, the two paths would also differ in how they distribute requests.
   */
  private static final List<PathCase> CASES =
      List.of(
          new PathCase("one request at a time, one token", 16, 250, 1, 0, 1, 1_500),
          new PathCase("half full, 5 ms a token", 16, 5_000, 32, 40, 16, 200),
          new PathCase("full, 5 ms a token", 16, 5_000, 64, 0, 16, 200),
          new PathCase("full, batch of 64, 1 ms a token", 64, 1_000, 64, 0, 64, 1_500),
          new PathCase("full, batch of 64, four tokens an answer", 64, 250, 4, 0, 64, 10_000));

  @Override
  public String name() {
    return "path";
  }

  @Override
  public String summary() {
    return "[rounds [case]]  added latency and lost tokens/s through entry and agent";
  }

  @Override
  public int run(List<String> arguments) {
    int rounds = arguments.isEmpty() ? ROUNDS : Integer.parseInt(arguments.getFirst());
    List<PathCase> cases =
        arguments.size() > 1 ? List.of(CASES.get(Integer.parseInt(arguments.get(1)) - 1)) : CASES;
    boolean clean = true;
    for (PathCase load : cases) {
      try {
        clean &= compare(load, rounds, System.out);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return 1;
      }
    }
    return clean ? 0 : 1;
  }

  private static boolean compare(PathCase load, int rounds, PrintStream out)
      throws InterruptedException {
    List<LoadReport> direct = new ArrayList<>();
    List<LoadReport> throughEntry = new ArrayList<>();
    try (PathRig rig = new PathRig(load)) {
      rig.start();
      rig.warmUp();
      for (int round = 0; round < rounds; round++) {
        direct.add(rig.runDirect());
        throughEntry.add(rig.runThroughEntry());
      }
    }
    print(load, direct, throughEntry, out);
    return direct.stream().allMatch(LoadReport::guaranteesMet)
        && throughEntry.stream().allMatch(LoadReport::guaranteesMet);
  }

  private static void print(
      PathCase load, List<LoadReport> direct, List<LoadReport> through, PrintStream out) {
    out.printf("%n### %s%n%n", load.name());
    out.println("| | direct | through entry and agent | difference | ratio |");
    out.println("|---|---|---|---|---|");
    row(out, "answers/s", direct, through, LoadReport::responsesPerSecond);
    row(out, "tokens/s", direct, through, LoadReport::tokensPerSecond);
    row(out, "first token p50 ms", direct, through, r -> at(r.firstToken(), 50));
    row(out, "first token p99 ms", direct, through, r -> at(r.firstToken(), 99));
    row(out, "whole answer p50 ms", direct, through, r -> at(r.total(), 50));
    row(out, "whole answer p99 ms", direct, through, r -> at(r.total(), 99));
    row(out, "load stall p99 ms", direct, through, r -> at(r.loadStall(), 99));
    row(out, "not answered", direct, through, r -> r.requests() - r.answered());
    through.forEach(report -> report.examples().forEach(out::println));
  }

  private static void row(
      PrintStream out,
      String name,
      List<LoadReport> direct,
      List<LoadReport> through,
      ToDoubleFunction<LoadReport> figure) {
    Spread a = Spread.of(direct, figure);
    Spread b = Spread.of(through, figure);
    out.printf(
        "| %s | %s | %s | %+.2f | %s |%n",
        name,
        a,
        b,
        b.median() - a.median(),
        a.median() == 0 ? "" : String.format("%.3f", b.median() / a.median()));
  }

  private static double at(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  /** Median and range over the rounds. */
  private record Spread(double min, double median, double max) {

    static Spread of(List<LoadReport> reports, ToDoubleFunction<LoadReport> figure) {
      double[] values = reports.stream().mapToDouble(figure).sorted().toArray();
      return new Spread(values[0], values[values.length / 2], values[values.length - 1]);
    }

    @Override
    public String toString() {
      return String.format("%.2f (%.2f to %.2f)", median, min, max);
    }
  }
}
