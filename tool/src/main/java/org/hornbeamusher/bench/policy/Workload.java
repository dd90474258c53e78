package org.hornbeamusher.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.hornbeamusher.ids.AdapterName;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.CallerId;

/** Draws the requests of a pattern from a seed; every row of a table gets the same ones. */
final class Workload {

  /**
   * Skew of popularity. With 48 slots of 3,000 adapters, 14 % of requests name an adapter that not
   * even the best choice holds; at 9 requests a second that is 1.3 loads of the store's 2. With
   * less skew the store alone is the limit, whoever decides.
   */
  static final double ZIPF_EXPONENT = 1.4;

  private static final int HOT_ADAPTER = 1_234;
  private static final double HOT_PART = 0.5;
  private static final double LONG_PART = 0.1;
  private static final int LONG_TIMES = 10;
  private static final double HOT_CALLER_LOAD = 1.5;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final Pattern pattern;
  private final SplittableRandom random;
  private final double[] popularity = cumulated();
  private final List<Arrival> arrivals = new ArrayList<>();

  private Workload(Pattern pattern, long seed) {
    this.pattern = pattern;
    this.random = new SplittableRandom(seed);
  }

  static List<Arrival> of(Pattern pattern, long seed) {
    Workload workload = new Workload(pattern, seed);
    for (Tenant tenant : List.of(Tenant.ZARQA, Tenant.TAWHITI)) {
      workload.draw(tenant, 0, Sizes.CALLERS);
    }
    if (pattern == Pattern.HOT_CALLER) {
      workload.drawCaller(Tenant.TAWHITI);
    }
    workload.arrivals.sort(Comparator.comparingLong(Arrival::millis));
    return workload.arrivals;
  }

  private void draw(Tenant tenant, int firstCaller, int callers) {
    double millis = 0;
    while (millis < Sizes.END_MILLIS) {
      double rate = pattern.load(tenant, (long) millis) * capacity(tenant);
      millis += gap(rate);
      add(tenant, (long) millis, firstCaller + random.nextInt(callers));
    }
  }

  private void drawCaller(Tenant tenant) {
    double millis = pattern.onsetMillis();
    while (millis < Sizes.END_MILLIS) {
      millis += gap(HOT_CALLER_LOAD * capacity(tenant));
      add(tenant, (long) millis, Sizes.CALLERS);
    }
  }

  private double capacity(Tenant tenant) {
    double all = pattern.shorter() * tenant.capacityPerSecond(Sizes.WORKERS);
    double tokensFactor = 1 + LONG_PART * (LONG_TIMES - 1);
    return pattern == Pattern.LONG_JOBS ? all / tokensFactor : all;
  }

  private double gap(double perSecond) {
    return -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / perSecond;
  }

  private void add(Tenant tenant, long millis, int caller) {
    int adapter = adapter(millis);
    boolean longJob = pattern == Pattern.LONG_JOBS && random.nextDouble() < LONG_PART;
    int meanTokens = tenant.meanTokens() / pattern.shorter();
    int tokens = meanTokens / 2 + random.nextInt(meanTokens);
    long deadline = tenant.deadlineMillis() / pattern.shorter();
    int prefix = random.nextInt(Sizes.PREFIXES_PER_ADAPTER);
    AdapterRef ref = new AdapterRef(tenant.service(), new AdapterName("adapter-" + adapter), 1);
    arrivals.add(
        new Arrival(
            arrivals.size(),
            millis,
            random.nextInt(Sizes.ENTRIES),
            tenant,
            new CallerId(tenant.partner() + "-" + caller),
            ref,
            1 + ref.toString().hashCode() * 31L + prefix,
            longJob ? tokens * LONG_TIMES : tokens,
            millis + (longJob ? deadline * LONG_TIMES : deadline)));
  }

  private int adapter(long millis) {
    boolean shifted = millis >= pattern.onsetMillis();
    if (pattern == Pattern.HOT_ADAPTER && shifted && random.nextDouble() < HOT_PART) {
      return HOT_ADAPTER;
    }
    int rank = rank(random.nextDouble()) % pattern.adapters();
    return pattern == Pattern.FLIP && shifted ? (rank + Sizes.ADAPTERS / 2) % Sizes.ADAPTERS : rank;
  }

  private int rank(double part) {
    int found = java.util.Arrays.binarySearch(popularity, part);
    return Math.min(Sizes.ADAPTERS - 1, found < 0 ? -found - 1 : found);
  }

  static double[] cumulated() {
    double[] sums = new double[Sizes.ADAPTERS];
    double sum = 0;
    for (int rank = 0; rank < sums.length; rank++) {
      sum += Math.pow(rank + 1, -ZIPF_EXPONENT);
      sums[rank] = sum;
    }
    for (int rank = 0; rank < sums.length; rank++) {
      sums[rank] /= sum;
    }
    return sums;
  }
}
