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
 * Prints a Markdown table for each load pattern: baselines, the product's decisions, and these with
 * each mechanism switched off.
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
    for (Pattern pattern : Pattern.values()) {
      if (named.isEmpty() || named.contains(label(pattern))) {
        table(pattern, shortened ? Row.baselines() : Row.all(), out);
      }
    }
  }

  private static String label(Pattern pattern) {
    return pattern.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static void table(Pattern pattern, List<Row> rows, PrintStream out) {
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
    Tally oursTally = null;
    List<String> unchanged = new ArrayList<>();
    List<Tally> tallies = runAll(pattern, rows, arrivals);
    for (int i = 0; i < rows.size(); i++) {
      Row row = rows.get(i);
      Tally tally = tallies.get(i);
      String figures = figures(tally, pattern.pooled());
      if (row.name().equals(Row.OURS)) {
        ours = figures;
        oursTally = tally;
      } else if (figures.equals(ours)) {
        unchanged.add(row.name());
        continue;
      }
      out.println("| " + row.name() + " | " + figures);
    }
    out.println();
    if (!unchanged.isEmpty()) {
      out.println("Same as ours: " + String.join("; ", unchanged) + ".");
    }
    if (oursTally != null) {
      out.println("Refused by ours: " + oursTally.refusals + ".");
    }
    if (pattern.shifts() && oursTally != null) {
      out.println(Recovery.describe(pattern, oursTally));
    }
    out.flush();
  }

  /** Rows share nothing, so running several at once changes no figure. */
  private static List<Tally> runAll(Pattern pattern, List<Row> rows, List<Arrival> arrivals) {
    try (ExecutorService workers = Executors.newFixedThreadPool(WORKERS)) {
      List<CompletableFuture<Tally>> futures =
          rows.stream()
              .map(
                  row ->
                      CompletableFuture.supplyAsync(() -> Run.of(pattern, row, arrivals), workers))
              .toList();
      return futures.stream().map(CompletableFuture::join).toList();
    }
  }

  static String figures(Tally tally, boolean pooled) {
    long[] stalls = tally.stalls.stream().mapToLong(Tally.Stall::millis).sorted().toArray();
    double mean = java.util.Arrays.stream(stalls).average().orElse(0);
    return String.format(
        Locale.ROOT,
        "%.0f | %d | %d | %.0f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.2f |",
        mean,
        quantile(stalls, 0.95),
        quantile(stalls, 0.99),
        tally.meanFirstToken(),
        PERCENT * tally.fill(),
        PERCENT * tally.answered / tally.offered,
        PERCENT * Shares.ofIdeal(tally, pooled),
        PERCENT * tally.refused / tally.offered,
        PERCENT * tally.wasted(),
        PERCENT * Shares.worstPartner(tally, pooled),
        PERCENT * Shares.worstCaller(tally, pooled),
        1_000.0 * tally.loads / Sizes.END_MILLIS);
  }

  private static long quantile(long[] sorted, double part) {
    return sorted.length == 0 ? 0 : sorted[(int) Math.min(sorted.length - 1, sorted.length * part)];
  }
}
