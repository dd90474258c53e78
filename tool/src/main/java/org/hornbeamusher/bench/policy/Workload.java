package org.hornbeamusher.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.hornbeamusher.ids.AdapterName;
import org.hornbeamusher.ids.AdapterRef;
import org.hornbeamusher.ids.CallerId;

/** Draws the requests of a load pattern from a seed; all variants receive the same requests. */
final class Workload {

  /**
   * Exponent of the Zipf distribution of adapter popularity. With 48 slots for 3,000 adapters, 14 %
   * of requests name an adapter that is not resident even with the best placement; at 9 requests
   * per second this takes 1.3 of the 2 loads per second of the weight store. With less skew the
   * store alone limits the result, whatever the policy.
   */
  static final double ZIPF_EXPONENT = 1.4;

  private static final int HOT_ADAPTER = 1_234;
  private static final double HOT_FRACTION = 0.5;
  private static final double LONG_FRACTION = 0.1;
  private static final int LONG_FACTOR = 10;
  private static final double HOT_CALLER_LOAD = 1.5;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final LoadPattern pattern;
  private final SplittableRandom random;
  private final double[] popularity = cumulativePopularity();
  private final List<Arrival> arrivals = new ArrayList<>();

  private Workload(LoadPattern pattern, long seed) {
    this.pattern = pattern;
    this.random = new SplittableRandom(seed);
  }

  static List<Arrival> of(LoadPattern pattern, long seed) {
    Workload workload = new Workload(pattern, seed);
    for (Tenant tenant : List.of(Tenant.ZARQA, Tenant.TAWHITI)) {
      workload.draw(tenant, 0, SimulationSizes.CALLERS);
    }
    if (pattern == LoadPattern.HOT_CALLER) {
      workload.drawCaller(Tenant.TAWHITI);
    }
    workload.arrivals.sort(Comparator.comparingLong(Arrival::millis));
    return workload.arrivals;
  }

  private void draw(Tenant tenant, int firstCaller, int callers) {
    double millis = 0;
    while (millis < SimulationSizes.END_MILLIS) {
      double rate = pattern.load(tenant, (long) millis) * capacity(tenant);
      millis += gap(rate);
      add(tenant, (long) millis, firstCaller + random.nextInt(callers));
    }
  }

  private void drawCaller(Tenant tenant) {
    double millis = pattern.onsetMillis();
    while (millis < SimulationSizes.END_MILLIS) {
      millis += gap(HOT_CALLER_LOAD * capacity(tenant));
      add(tenant, (long) millis, SimulationSizes.CALLERS);
    }
  }

  private double capacity(Tenant tenant) {
    double all = pattern.shorteningFactor() * tenant.capacityPerSecond(SimulationSizes.WORKERS);
    double tokensFactor = 1 + LONG_FRACTION * (LONG_FACTOR - 1);
    return pattern == LoadPattern.LONG_JOBS ? all / tokensFactor : all;
  }

  private double gap(double perSecond) {
    return -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / perSecond;
  }

  private void add(Tenant tenant, long millis, int caller) {
    int adapter = adapter(millis);
    boolean longJob = pattern == LoadPattern.LONG_JOBS && random.nextDouble() < LONG_FRACTION;
    int meanTokens = tenant.meanTokens() / pattern.shorteningFactor();
    int tokens = meanTokens / 2 + random.nextInt(meanTokens);
    long deadline = tenant.deadlineMillis() / pattern.shorteningFactor();
    int prefix = random.nextInt(SimulationSizes.PREFIXES_PER_ADAPTER);
    AdapterRef ref = new AdapterRef(tenant.service(), new AdapterName("adapter-" + adapter), 1);
    arrivals.add(
        new Arrival(
            arrivals.size(),
            millis,
            random.nextInt(SimulationSizes.ENTRIES),
            tenant,
            new CallerId(tenant.partner() + "-" + caller),
            ref,
            1 + ref.toString().hashCode() * 31L + prefix,
            longJob ? tokens * LONG_FACTOR : tokens,
            millis + (longJob ? deadline * LONG_FACTOR : deadline)));
  }

  private int adapter(long millis) {
    boolean shifted = millis >= pattern.onsetMillis();
    if (pattern == LoadPattern.HOT_ADAPTER && shifted && random.nextDouble() < HOT_FRACTION) {
      return HOT_ADAPTER;
    }
    int rank = rank(random.nextDouble()) % pattern.adapters();
    return pattern == LoadPattern.FLIP && shifted
        ? (rank + SimulationSizes.ADAPTERS / 2) % SimulationSizes.ADAPTERS
        : rank;
  }

  private int rank(double fraction) {
    int found = java.util.Arrays.binarySearch(popularity, fraction);
    return Math.min(SimulationSizes.ADAPTERS - 1, found < 0 ? -found - 1 : found);
  }

  static double[] cumulativePopularity() {
    double[] sums = new double[SimulationSizes.ADAPTERS];
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
