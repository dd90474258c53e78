package org.hornbeamusher.bench.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the policies of entry and agent together under load, by the results of the callers. */
class PolicyPatternsTest {

  private static final long SEED = 20_261_202;

  // Thousands of adapters share a few slots. If requests are balanced by load alone, every fifth
  // request waits for seconds until its adapter is loaded, and one in eight is refused.
  @Test
  void skewedPopularityCostsOneThirdOfTheLoadStallsAtNoLowerFill() {
    RunStatistics ours = ours(LoadPattern.STEADY);
    RunStatistics leastLoaded = run(LoadPattern.STEADY, PolicyVariant.baselines().get(1));
    assertTrue(meanStall(ours) <= meanStall(leastLoaded) / 3);
    assertTrue(ours.batchFill() >= leastLoaded.batchFill());
    assertTrue(inTime(ours) >= 0.99, () -> "in time " + inTime(ours));
  }

  @Test
  void sameSeedGivesTheSameResults() {
    String once = PolicyBench.results(ours(LoadPattern.BURST), false);
    assertEquals(once, PolicyBench.results(ours(LoadPattern.BURST), false));
  }

  // For ten seconds in every minute the rate is three times the average and nearly twice the
  // capacity of the pool. Requests of the burst may be refused; those after it must not be delayed
  // by a backlog.
  @Test
  void burstDoesNotDelayLaterRequests() {
    RunStatistics statistics = ours(LoadPattern.BURST);
    assertTrue(inTime(statistics) >= 0.9, () -> "in time " + inTime(statistics));
    assertTrue(statistics.wastedFraction() <= 0.02);
  }

  // One caller alone exceeds the capacity of its partner's endpoints. Without fair shares the other
  // callers of the service would be refused as often as this one.
  @Test
  void hotCallerIsRefusedAndTheOthersAreServed() {
    RunStatistics statistics = ours(LoadPattern.HOT_CALLER);
    for (int caller = 0; caller < SimulationSizes.CALLERS; caller++) {
      RunStatistics.CallerTotals account = account(statistics, "tawhiti-" + caller);
      assertTrue(account.completed >= 0.85 * account.demand, "caller " + caller);
    }
    RunStatistics.CallerTotals hot = account(statistics, "tawhiti-" + SimulationSizes.CALLERS);
    assertTrue(hot.completed <= 0.5 * hot.demand);
  }

  // Half of all requests suddenly name one adapter that was not resident. If it were loaded at one
  // endpoint only, its callers would be refused there while the other endpoints idle.
  @Test
  void hotAdapterIsServedByMoreThanOneEndpoint() {
    assertTrue(inTime(ours(LoadPattern.HOT_ADAPTER)) >= 0.99);
  }

  // One endpoint becomes five times slower but still responds. Unless requests are routed around
  // it, its callers miss their deadlines for as long as it is slow.
  @Test
  void slowEndpointDelaysOnlyRequestsAlreadyRunningThere() {
    RunStatistics statistics = ours(LoadPattern.SLOW_ENDPOINT);
    assertTrue(inTime(statistics) >= 0.98, () -> "in time " + inTime(statistics));
    RunStatistics.CallerTotals worst =
        statistics.accounts().values().stream()
            .min(java.util.Comparator.comparingDouble(a -> a.completed / a.demand))
            .orElseThrow();
    assertTrue(worst.completed >= 0.95 * worst.demand);
  }

  // One request in ten runs ten times as long. Short requests queued behind long ones would miss
  // their deadlines, which are ten times shorter.
  @Test
  void longJobsDoNotKeepShortOnesWaiting() {
    RunStatistics statistics = ours(LoadPattern.LONG_JOBS);
    assertTrue(inTime(statistics) >= 0.98, () -> "in time " + inTime(statistics));
  }

  // Calls last a quarter of a second and load reports are older than that. If the entries relied on
  // the last report alone, all would send every request to the endpoint that was least loaded then.
  @Test
  void shortCallsAreSpreadDespiteStaleReports() {
    RunStatistics statistics = ours(LoadPattern.SHORT_CALLS);
    assertTrue(inTime(statistics) >= 0.995, () -> "in time " + inTime(statistics));
  }

  // Requests arrive at twice the capacity. In an unbounded queue all would miss their deadlines.
  @Test
  void twoTimesOverloadIsServedUpToCapacity() {
    assertOverload(ours(LoadPattern.OVERLOAD_2));
  }

  // Requests arrive at ten times the capacity; refusals must not slow down the served requests.
  @Test
  void tenTimesOverloadIsServedUpToCapacity() {
    assertOverload(ours(LoadPattern.OVERLOAD_10));
  }

  private static void assertOverload(RunStatistics statistics) {
    double ideal = Shares.idealFraction(statistics, false);
    assertTrue(ideal >= 0.9, () -> "of ideal " + ideal);
    double partner = Shares.worstPartner(statistics, false);
    assertTrue(partner >= 0.95, () -> "worst partner " + partner);
    double caller = Shares.worstCaller(statistics, false);
    assertTrue(caller >= 0.95, () -> "worst caller " + caller);
  }

  // Popular and unpopular adapters are swapped at once. Every endpoint then holds the wrong ones,
  // and the weight store serves only two loads per second.
  @Test
  void popularityFlipKeepsRequestsInTime() {
    RunStatistics statistics = ours(LoadPattern.FLIP);
    assertTrue(inTime(statistics) >= 0.97, () -> "in time " + inTime(statistics));
  }

  // All engines restart in the same second and lose their resident adapters and running requests.
  @Test
  void restartOfAllEnginesKeepsRequestsInTime() {
    RunStatistics statistics = ours(LoadPattern.RESTART);
    assertTrue(inTime(statistics) >= 0.95, () -> "in time " + inTime(statistics));
  }

  // Three loads in ten fail. The affected requests must be retried elsewhere or after the next load
  // attempt, and never run on another adapter.
  @Test
  void failingLoadsAreRetried() {
    RunStatistics statistics = ours(LoadPattern.LOADS_FAIL);
    assertTrue(inTime(statistics) >= 0.97, () -> "in time " + inTime(statistics));
  }

  // Both partners share all endpoints and one sends four times its share. Without fair shares in
  // admission only one request in ten of the other partner is served.
  @Test
  void floodingPartnerLeavesTheOtherItsShare() {
    double worst = Shares.worstPartner(ours(LoadPattern.FLOOD), true);
    assertTrue(worst >= 0.8, () -> "worst partner " + worst);
  }

  private static RunStatistics ours(LoadPattern pattern) {
    return run(pattern, PolicyVariant.ours());
  }

  private static RunStatistics run(LoadPattern pattern, PolicyVariant variant) {
    return Simulation.of(pattern, variant, Workload.of(pattern, SEED));
  }

  private static double inTime(RunStatistics statistics) {
    return (double) statistics.answeredInTime / statistics.offered;
  }

  private static double meanStall(RunStatistics statistics) {
    return statistics.stalls.stream()
        .mapToLong(RunStatistics.LoadStall::millis)
        .average()
        .orElse(0);
  }

  private static RunStatistics.CallerTotals account(RunStatistics statistics, String caller) {
    return statistics.accounts().get(new org.hornbeamusher.ids.CallerId(caller));
  }
}
