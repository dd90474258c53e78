package org.hornbeamusher.bench.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Computes max-min fair shares with equal weights: no holder gets more than its demand, and the
 * unused remainder is divided equally among the others.
 */
final class Shares {

  private Shares() {}

  static double[] maxMinShares(double[] demands, double capacity) {
    double[] result = new double[demands.length];
    Integer[] ascending = new Integer[demands.length];
    Arrays.setAll(ascending, i -> i);
    Arrays.sort(ascending, (a, b) -> Double.compare(demands[a], demands[b]));
    double remaining = capacity;
    int holders = demands.length;
    for (int at : ascending) {
      result[at] = Math.min(demands[at], remaining / holders);
      remaining -= result[at];
      holders--;
    }
    return result;
  }

  /** The smallest fraction of its fair share that any partner received. */
  static double worstPartner(RunStatistics statistics, boolean pooled) {
    double worst = Double.POSITIVE_INFINITY;
    for (TenantGroup group : groups(statistics, pooled)) {
      worst = Math.min(worst, group.completed() / group.entitled);
    }
    return Math.min(1, worst);
  }

  /** The smallest fraction of its fair share that any caller received. */
  static double worstCaller(RunStatistics statistics, boolean pooled) {
    double worst = Double.POSITIVE_INFINITY;
    for (TenantGroup group : groups(statistics, pooled)) {
      double[] entitled =
          maxMinShares(
              group.accounts.stream().mapToDouble(a -> a.demand).toArray(), group.entitled);
      for (int i = 0; i < entitled.length; i++) {
        worst = Math.min(worst, group.accounts.get(i).completed / entitled[i]);
      }
    }
    return Math.min(1, worst);
  }

  /**
   * Work completed in time, as a fraction of the demand that the pool could serve at full speed.
   */
  static double idealFraction(RunStatistics statistics, boolean pooled) {
    double completed = 0;
    double entitled = 0;
    for (TenantGroup group : groups(statistics, pooled)) {
      completed += group.completed();
      entitled += group.entitled;
    }
    return completed / entitled;
  }

  private static List<TenantGroup> groups(RunStatistics statistics, boolean pooled) {
    List<TenantGroup> groups = new ArrayList<>();
    for (Tenant tenant : List.of(Tenant.ZARQA, Tenant.TAWHITI)) {
      groups.add(
          new TenantGroup(
              statistics.accounts().values().stream().filter(a -> a.tenant == tenant).toList()));
    }
    double[] demands = groups.stream().mapToDouble(TenantGroup::demand).toArray();
    double half = statistics.capacity() / groups.size();
    double[] entitled = maxMinShares(demands, statistics.capacity());
    for (int i = 0; i < groups.size(); i++) {
      groups.get(i).entitled = pooled ? entitled[i] : Math.min(demands[i], half);
    }
    return groups;
  }

  private static final class TenantGroup {
    final List<RunStatistics.CallerTotals> accounts;
    double entitled;

    TenantGroup(List<RunStatistics.CallerTotals> accounts) {
      this.accounts = accounts;
    }

    double demand() {
      return accounts.stream().mapToDouble(a -> a.demand).sum();
    }

    double completed() {
      return accounts.stream().mapToDouble(a -> a.completed).sum();
    }
  }
}
