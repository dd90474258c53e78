package org.hornbeamusher.load;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * What callers received in a run. Latencies are in microseconds, of answered requests only, and
 * count from the moment a request was due.
 *
 * @param answered requests with the whole right answer
 * @param refused requests not run, by type of failure
 * @param failed requests that ran or may have run and have no whole answer, by type of failure
 * @param wrong requests with an answer that is not theirs
 * @param lost requests without an answer or typed failure
 * @param repeated requests that were run again under their idempotency key
 * @param tokens tokens of all whole answers
 * @param elapsedMicros length of the run
 * @param total time to the whole answer
 * @param firstToken time to the answer's first part
 * @param loadStall time that the system says was spent waiting for a load
 * @param examples some of what was wrong, lost or repeated
 */
public record LoadReport(
    int answered,
    Map<String, Integer> refused,
    Map<String, Integer> failed,
    int wrong,
    int lost,
    int repeated,
    long tokens,
    long elapsedMicros,
    Histogram total,
    Histogram firstToken,
    Histogram loadStall,
    List<String> examples) {

  private static final double MICROS_PER_SECOND = 1e6;
  private static final double MICROS_PER_MILLI = 1e3;
  private static final double[] PERCENTILES = {50, 95, 99, 99.9};

  /** Copies the collections. */
  public LoadReport {
    refused = Map.copyOf(refused);
    failed = Map.copyOf(failed);
    examples = List.copyOf(examples);
  }

  /**
   * Returns how many requests were sent, resent ones not counted.
   *
   * @return answered, refused, failed, wrong and lost together
   */
  public int requests() {
    return answered + refusedCount() + failedCount() + wrong + lost;
  }

  /**
   * Returns how many requests were not run.
   *
   * @return the sum over types
   */
  public int refusedCount() {
    return sum(refused);
  }

  /**
   * Returns how many requests failed after they ran or may have run.
   *
   * @return the sum over types
   */
  public int failedCount() {
    return sum(failed);
  }

  /**
   * Tells whether nothing happened that must never happen.
   *
   * @return whether nothing was wrong, lost or repeated
   */
  public boolean clean() {
    return wrong == 0 && lost == 0 && repeated == 0;
  }

  /**
   * Returns the rate of whole answers.
   *
   * @return answers a second
   */
  public double answersPerSecond() {
    return answered * MICROS_PER_SECOND / Math.max(1, elapsedMicros);
  }

  /**
   * Returns the rate of tokens.
   *
   * @return tokens of whole answers a second
   */
  public double tokensPerSecond() {
    return tokens * MICROS_PER_SECOND / Math.max(1, elapsedMicros);
  }

  /**
   * Prints a summary.
   *
   * @param out takes it
   */
  public void print(PrintStream out) {
    out.printf(
        "%d requests in %.1f s: %d answered, %d refused, %d failed, %d wrong, %d lost,"
            + " %d repeated%n",
        requests(),
        elapsedMicros / MICROS_PER_SECOND,
        answered,
        refusedCount(),
        failedCount(),
        wrong,
        lost,
        repeated);
    out.printf("%.1f answers/s, %.0f tokens/s%n", answersPerSecond(), tokensPerSecond());
    new TreeMap<>(refused).forEach((type, n) -> out.printf("  refused %-24s %d%n", type, n));
    new TreeMap<>(failed).forEach((type, n) -> out.printf("  failed  %-24s %d%n", type, n));
    examples.forEach(example -> out.println("  " + example));
    out.printf("%-12s %9s %9s %9s %9s %9s%n", "ms", "p50", "p95", "p99", "p99.9", "max");
    row(out, "total", total);
    row(out, "first token", firstToken);
    row(out, "load stall", loadStall);
  }

  private static void row(PrintStream out, String name, Histogram histogram) {
    out.printf("%-12s", name);
    for (double percentile : PERCENTILES) {
      out.printf(" %9.2f", histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI);
    }
    out.printf(" %9.2f%n", histogram.getMaxValue() / MICROS_PER_MILLI);
  }

  /**
   * Prints every percentile, in HdrHistogram's form, in milliseconds.
   *
   * @param out takes them
   */
  public void printPercentiles(PrintStream out) {
    out.println("# total");
    total.outputPercentileDistribution(out, MICROS_PER_MILLI);
    out.println("# first token");
    firstToken.outputPercentileDistribution(out, MICROS_PER_MILLI);
    out.println("# load stall");
    loadStall.outputPercentileDistribution(out, MICROS_PER_MILLI);
  }

  private static int sum(Map<String, Integer> counts) {
    return counts.values().stream().mapToInt(Integer::intValue).sum();
  }
}
