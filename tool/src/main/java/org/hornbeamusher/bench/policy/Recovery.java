package org.hornbeamusher.bench.policy;

import java.util.Arrays;
import java.util.Locale;

/** How long it takes after a shift until load stalls are what they were. */
final class Recovery {

  private static final long WINDOW_MILLIS = 10_000;
  private static final long STEP_MILLIS = 1_000;

  /** Part of the windows before the shift that count as ordinary. */
  private static final double ORDINARY = 0.95;

  private static final int TENANTS = 2;
  private static final double PERCENT = 100;

  private Recovery() {}

  static String describe(Pattern pattern, Tally tally) {
    double ordinary = ordinaryStall(pattern, tally);
    double hits = hits(tally, pattern.onsetMillis());
    int adapters = adaptersFor(hits);
    return String.format(
        Locale.ROOT,
        "Load stall over 10 s was at most %.0f ms in 95 %% of the time before the shift; it is so"
            + " again from %.0f s after it. Bound by the weight store: before, %.1f %% of requests"
            + " found their adapter, which takes the %d most popular of each partner, and loading"
            + " these at full speed takes %.0f s.",
        ordinary,
        recoveredAfterMillis(pattern, tally, ordinary) / 1_000.0,
        PERCENT * hits,
        adapters,
        TENANTS * adapters * Sizes.LOAD_MILLIS / 1_000.0);
  }

  /** Returns the end of the first ordinary window, in milliseconds after the shift. */
  private static long recoveredAfterMillis(Pattern pattern, Tally tally, double ordinary) {
    long from = pattern.onsetMillis();
    while (from < Sizes.END_MILLIS && mean(tally, from) > ordinary) {
      from += STEP_MILLIS;
    }
    return from + WINDOW_MILLIS - pattern.onsetMillis();
  }

  private static double ordinaryStall(Pattern pattern, Tally tally) {
    int windows =
        (int) ((pattern.onsetMillis() - WINDOW_MILLIS - Sizes.WARM_UP_MILLIS) / STEP_MILLIS);
    double[] means = new double[windows];
    for (int i = 0; i < windows; i++) {
      means[i] = mean(tally, Sizes.WARM_UP_MILLIS + i * STEP_MILLIS);
    }
    Arrays.sort(means);
    return means[(int) (windows * ORDINARY)];
  }

  private static double mean(Tally tally, long from) {
    return tally.stalls.stream()
        .filter(one -> one.arrivedMillis() >= from && one.arrivedMillis() < from + WINDOW_MILLIS)
        .mapToLong(Tally.Stall::millis)
        .average()
        .orElse(0);
  }

  private static double hits(Tally tally, long onset) {
    return tally.stalls.stream()
        .filter(stall -> stall.arrivedMillis() < onset)
        .mapToDouble(stall -> stall.millis() == 0 ? 1 : 0)
        .average()
        .orElse(0);
  }

  private static int adaptersFor(double hits) {
    double[] popularity = Workload.cumulated();
    int count = 0;
    while (count < popularity.length && popularity[count] < hits) {
      count++;
    }
    return count + 1;
  }
}
