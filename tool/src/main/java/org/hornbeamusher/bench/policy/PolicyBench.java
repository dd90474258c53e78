package org.hornbeamusher.bench.policy;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.hornbeamusher.bench.Benchmark;

/**
 * Prints a Markdown table for each load pattern. Its rows are the baselines, the product's
 * policies, and the product's policies with one feature at a time switched off.
 */
public final class PolicyBench implements Benchmark {

  private static final long SEED = 20_261_202;
  private static final int WORKERS = 4;
  private static final double PERCENT = 100;

  @Override
  public String name() {
    return "policy";
  }

  @Override
  public String summary() {
    return "[--short] [PATTERN ...]  decisions under load; short leaves out single mechanisms";
  }

  @Override
  public int run(List<String> arguments) {
    tables(arguments, System.out);
    return 0;
  }

  private static void tables(List<String> patterns, PrintStream out) {
    boolean shortened = patterns.contains("--short");
    List<String> named = patterns.stream().filter(name -> !name.startsWith("--")).toList();
    for (LoadPattern pattern : LoadPattern.values()) {
      if (named.isEmpty() || named.contains(label(pattern))) {
        table(pattern, shortened ? PolicyVariant.baselines() : PolicyVariant.all(), out);
      }
    }
  }

  private static String label(LoadPattern pattern) {
    return pattern.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static void table(LoadPattern pattern, List<PolicyVariant> variants, PrintStream out) {
    List<Arrival> arrivals = Workload.of(pattern, SEED);
    out.println();
    out.println("### " + pattern.title());
    out.println();
    out.println(
        "| decisions | load stall mean ms | p95 | p99 | first token mean | batch fill % | in time %"
            + " | of ideal work % | refused % | wasted % | worst partner % | worst caller % |"
            + " loads/s |");
    out.println("|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|");
    String ours = "";
    RunStatistics oursStatistics = null;
    List<String> unchanged = new ArrayList<>();
    List<RunStatistics> results = runAll(pattern, variants, arrivals);
    for (int i = 0; i < variants.size(); i++) {
      PolicyVariant variant = variants.get(i);
      RunStatistics statistics = results.get(i);
      String row = results(statistics, pattern.pooled());
      if (variant.name().equals(PolicyVariant.OURS)) {
        ours = row;
        oursStatistics = statistics;
      } else if (row.equals(ours)) {
        unchanged.add(variant.name());
        continue;
      }
      out.println("| " + variant.name() + " | " + row);
    }
    out.println();
    if (!unchanged.isEmpty()) {
      out.println("Same as ours: " + String.join("; ", unchanged) + ".");
    }
    if (oursStatistics != null) {
      out.println("Refused by ours: " + oursStatistics.refusals + ".");
    }
    if (pattern.losesResidency() && oursStatistics != null) {
      out.println(Recovery.describe(pattern, oursStatistics));
    }
    out.flush();
  }

  /** Runs all variants; they share no state, so parallel runs give the same results. */
  private static List<RunStatistics> runAll(
      LoadPattern pattern, List<PolicyVariant> variants, List<Arrival> arrivals) {
    try (ExecutorService workers = Executors.newFixedThreadPool(WORKERS)) {
      List<CompletableFuture<RunStatistics>> futures =
          variants.stream()
              .map(
                  variant ->
                      CompletableFuture.supplyAsync(
                          () -> Simulation.of(pattern, variant, arrivals), workers))
              .toList();
      return futures.stream().map(CompletableFuture::join).toList();
    }
  }

  static String results(RunStatistics statistics, boolean pooled) {
    long[] stalls =
        statistics.stalls.stream().mapToLong(RunStatistics.LoadStall::millis).sorted().toArray();
    double mean = java.util.Arrays.stream(stalls).average().orElse(0);
    return String.format(
        Locale.ROOT,
        "%.0f | %d | %d | %.0f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.2f |",
        mean,
        quantile(stalls, 0.95),
        quantile(stalls, 0.99),
        statistics.meanFirstToken(),
        PERCENT * statistics.batchFill(),
        PERCENT * statistics.answeredInTime / statistics.offered,
        PERCENT * Shares.idealFraction(statistics, pooled),
        PERCENT * statistics.refused / statistics.offered,
        PERCENT * statistics.wastedFraction(),
        PERCENT * Shares.worstPartner(statistics, pooled),
        PERCENT * Shares.worstCaller(statistics, pooled),
        1_000.0 * statistics.loads / SimulationSizes.END_MILLIS);
  }

  private static long quantile(long[] sorted, double fraction) {
    return sorted.length == 0
        ? 0
        : sorted[(int) Math.min(sorted.length - 1, sorted.length * fraction)];
  }
}
