package org.hornbeamusher.bench.policy;

import java.util.Arrays;
import java.util.Locale;

/** Measures how long load stalls take after a shift to return to their level before it. */
final class Recovery {

  private static final long WINDOW_MILLIS = 10_000;
  private static final long STEP_MILLIS = 1_000;

  /** Quantile of the windows before the shift that is the baseline of load stalls. */
  private static final double BASELINE_QUANTILE = 0.95;

  private static final int TENANTS = 2;
  private static final double PERCENT = 100;

  private Recovery() {}

  static String describe(LoadPattern pattern, RunStatistics statistics) {
    double ordinary = baselineStall(pattern, statistics);
    double hits = hitRate(statistics, pattern.onsetMillis());
    int adapters = adaptersFor(hits);
    return String.format(
        Locale.ROOT,
        "Load stall over 10 s was at most %.0f ms in 95 %% of the time before the shift; it is so"
            + " again from %.0f s after it. Bound by the weight store: before, %.1f %% of requests"
            + " found their adapter, which takes the %d most popular of each partner, and loading"
            + " these at full speed takes %.0f s.",
        ordinary,
        recoveredAfterMillis(pattern, statistics, ordinary) / 1_000.0,
        PERCENT * hits,
        adapters,
        TENANTS * adapters * SimulationSizes.LOAD_MILLIS / 1_000.0);
  }

  /** Returns the end of the first window at the baseline, in milliseconds after the shift. */
  private static long recoveredAfterMillis(
      LoadPattern pattern, RunStatistics statistics, double ordinary) {
    long from = pattern.onsetMillis();
    while (from < SimulationSizes.END_MILLIS && mean(statistics, from) > ordinary) {
      from += STEP_MILLIS;
    }
    return from + WINDOW_MILLIS - pattern.onsetMillis();
  }

  private static double baselineStall(LoadPattern pattern, RunStatistics statistics) {
    int windows =
        (int)
            ((pattern.onsetMillis() - WINDOW_MILLIS - SimulationSizes.WARM_UP_MILLIS)
                / STEP_MILLIS);
    double[] means = new double[windows];
    for (int i = 0; i < windows; i++) {
      means[i] = mean(statistics, SimulationSizes.WARM_UP_MILLIS + i * STEP_MILLIS);
    }
    Arrays.sort(means);
    return means[(int) (windows * BASELINE_QUANTILE)];
  }

  private static double mean(RunStatistics statistics, long from) {
    return statistics.stalls.stream()
        .filter(one -> one.arrivedMillis() >= from && one.arrivedMillis() < from + WINDOW_MILLIS)
        .mapToLong(RunStatistics.LoadStall::millis)
        .average()
        .orElse(0);
  }

  private static double hitRate(RunStatistics statistics, long onset) {
    return statistics.stalls.stream()
        .filter(stall -> stall.arrivedMillis() < onset)
        .mapToDouble(stall -> stall.millis() == 0 ? 1 : 0)
        .average()
        .orElse(0);
  }

  private static int adaptersFor(double hits) {
    double[] popularity = Workload.cumulativePopularity();
    int count = 0;
    while (count < popularity.length && popularity[count] < hits) {
      count++;
    }
    return count + 1;
  }
}
