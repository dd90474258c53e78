package org.hornbeamusher.load;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * The outcomes of a run as callers see them. Latencies are in microseconds, cover answered requests
 * only, and are measured from the time a request was due.
 *
 * @param answered requests with the complete and correct response
 * @param refused requests not run, by failure type
 * @param failed requests that ran or may have run and got no complete response, by failure type
 * @param wrong requests with a response that is not theirs
 * @param lost requests without a complete response or typed failure
 * @param repeated requests that ran more than once under their idempotency key
 * @param tokens tokens of all complete responses
 * @param elapsedMicros duration of the run
 * @param total time until the response was complete
 * @param firstToken time until the first part of the response
 * @param loadStall time spent waiting for an adapter load, as reported in the response
 * @param examples descriptions of some wrong, lost and repeated requests
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
   * Returns the number of requests sent, not counting second sends.
   *
   * @return the sum of answered, refused, failed, wrong and lost requests
   */
  public int requests() {
    return answered + refusedCount() + failedCount() + wrong + lost;
  }

  /**
   * Returns the number of requests not run.
   *
   * @return the sum over types
   */
  public int refusedCount() {
    return sum(refused);
  }

  /**
   * Returns the number of requests that failed after they ran or may have run.
   *
   * @return the sum over types
   */
  public int failedCount() {
    return sum(failed);
  }

  /**
   * Returns whether the system's guarantees held.
   *
   * @return whether no request was wrong, lost or repeated
   */
  public boolean guaranteesMet() {
    return wrong == 0 && lost == 0 && repeated == 0;
  }

  /**
   * Returns the rate of complete responses.
   *
   * @return responses per second
   */
  public double responsesPerSecond() {
    return answered * MICROS_PER_SECOND / Math.max(1, elapsedMicros);
  }

  /**
   * Returns the rate of tokens.
   *
   * @return tokens of complete responses per second
   */
  public double tokensPerSecond() {
    return tokens * MICROS_PER_SECOND / Math.max(1, elapsedMicros);
  }

  /**
   * Prints a summary.
   *
   * @param out stream to print to
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
    out.printf("%.1f answers/s, %.0f tokens/s%n", responsesPerSecond(), tokensPerSecond());
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
   * Prints the percentile distributions in HdrHistogram's text format, in milliseconds.
   *
   * @param out stream to print to
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
