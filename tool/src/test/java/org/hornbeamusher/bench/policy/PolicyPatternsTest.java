package org.hornbeamusher.bench.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The decisions of entry and agent together under load, judged by what callers receive. */
class PolicyPatternsTest {

  private static final long SEED = 20_261_202;

  // Thousands of adapters share a few slots. Spread by load alone, every fifth request waits for
  // seconds until its adapter is there, and one in eight is refused.
  @Test
  void skewedPopularityCostsOneThirdOfTheLoadStallsAtNoLowerFill() {
    Tally ours = ours(Pattern.STEADY);
    Tally leastLoaded = run(Pattern.STEADY, Row.baselines().get(1));
    assertTrue(meanStall(ours) <= meanStall(leastLoaded) / 3);
    assertTrue(ours.fill() >= leastLoaded.fill());
    assertTrue(inTime(ours) >= 0.99, () -> "in time " + inTime(ours));
  }

  @Test
  void sameSeedGivesTheSameFigures() {
    String once = PolicyBench.figures(ours(Pattern.BURST), false);
    assertEquals(once, PolicyBench.figures(ours(Pattern.BURST), false));
  }

  // For ten seconds in every minute three times as much arrives as on average, nearly twice what
  // the pool can do. Callers of the burst may be refused; those after it must not wait for it.
  @Test
  void burstPassesWithoutLongTail() {
    Tally tally = ours(Pattern.BURST);
    assertTrue(inTime(tally) >= 0.9, () -> "in time " + inTime(tally));
    assertTrue(tally.wasted() <= 0.02);
  }

  // One caller sends more alone than its partner's endpoints can do. The other callers of the same
  // service send as much as ever and would be refused as often as it is.
  @Test
  void hotCallerIsRefusedAndTheOthersAreServed() {
    Tally tally = ours(Pattern.HOT_CALLER);
    for (int caller = 0; caller < Sizes.CALLERS; caller++) {
      Tally.Account account = account(tally, "tawhiti-" + caller);
      assertTrue(account.answered >= 0.85 * account.demand, "caller " + caller);
    }
    Tally.Account hot = account(tally, "tawhiti-" + Sizes.CALLERS);
    assertTrue(hot.answered <= 0.5 * hot.demand);
  }

  // From one moment on every second request names one adapter that was cold. With one home for it
  // its callers would fill a single endpoint and be refused while the others idle.
  @Test
  void hotAdapterIsServedByMoreThanOneEndpoint() {
    assertTrue(inTime(ours(Pattern.HOT_ADAPTER)) >= 0.99);
  }

  // One endpoint becomes five times slower and still answers. Its callers would miss their
  // deadlines for as long as that lasts.
  @Test
  void slowEndpointCostsOnlyWhatRunsThereWhenItSlowsDown() {
    Tally tally = ours(Pattern.SLOW_ENDPOINT);
    assertTrue(inTime(tally) >= 0.98, () -> "in time " + inTime(tally));
    Tally.Account worst =
        tally.accounts().values().stream()
            .min(java.util.Comparator.comparingDouble(a -> a.answered / a.demand))
            .orElseThrow();
    assertTrue(worst.answered >= 0.95 * worst.demand);
  }

  // One request in ten runs ten times as long. Short ones would wait behind them until their
  // deadlines, which are a tenth as far.
  @Test
  void longJobsDoNotKeepShortOnesWaiting() {
    Tally tally = ours(Pattern.LONG_JOBS);
    assertTrue(inTime(tally) >= 0.98, () -> "in time " + inTime(tally));
  }

  // Calls last a quarter of a second and reports are older than that. If each entry trusted the
  // last
  // report, all of them would send everything to the endpoint that was emptiest then.
  @Test
  void shortCallsAreSpreadThoughReportsLag() {
    Tally tally = ours(Pattern.SHORT_CALLS);
    assertTrue(inTime(tally) >= 0.995, () -> "in time " + inTime(tally));
  }

  // Twice as much arrives as the endpoints can do. Queued without limit, all of it would be late.
  @Test
  void twiceTheCapacityIsAnsweredToTheCapacity() {
    assertOverload(ours(Pattern.OVERLOAD_2));
  }

  // Ten times the capacity; refusing must cost nothing that answering needs.
  @Test
  void tenTimesTheCapacityIsAnsweredToTheCapacity() {
    assertOverload(ours(Pattern.OVERLOAD_10));
  }

  private static void assertOverload(Tally tally) {
    double ideal = Shares.ofIdeal(tally, false);
    assertTrue(ideal >= 0.9, () -> "of ideal " + ideal);
    double partner = Shares.worstPartner(tally, false);
    assertTrue(partner >= 0.95, () -> "worst partner " + partner);
    double caller = Shares.worstCaller(tally, false);
    assertTrue(caller >= 0.95, () -> "worst caller " + caller);
  }

  // Popular adapters become cold and cold ones popular at one moment. Every endpoint holds the
  // wrong
  // ones, and the weight store gives two a second.
  @Test
  void popularityFlipIsSurvived() {
    Tally tally = ours(Pattern.FLIP);
    assertTrue(inTime(tally) >= 0.97, () -> "in time " + inTime(tally));
  }

  // All engines restart in the same second and have lost everything.
  @Test
  void restartOfAllEnginesIsSurvived() {
    Tally tally = ours(Pattern.RESTART);
    assertTrue(inTime(tally) >= 0.95, () -> "in time " + inTime(tally));
  }

  // Three loads in ten fail. Their requests are repeated elsewhere or after the next try; nobody
  // is answered by another adapter.
  @Test
  void failingLoadsAreRepeated() {
    Tally tally = ours(Pattern.LOADS_FAIL);
    assertTrue(inTime(tally) >= 0.97, () -> "in time " + inTime(tally));
  }

  // Both partners share all endpoints and one sends four times its part. Without shares at the door
  // the other is answered one time in ten.
  @Test
  void partnerThatFloodsThePoolLeavesTheOtherItsPart() {
    double worst = Shares.worstPartner(ours(Pattern.FLOOD), true);
    assertTrue(worst >= 0.8, () -> "worst partner " + worst);
  }

  private static Tally ours(Pattern pattern) {
    return run(pattern, Row.ours());
  }

  private static Tally run(Pattern pattern, Row row) {
    return Run.of(pattern, row, Workload.of(pattern, SEED));
  }

  private static double inTime(Tally tally) {
    return (double) tally.answered / tally.offered;
  }

  private static double meanStall(Tally tally) {
    return tally.stalls.stream().mapToLong(Tally.Stall::millis).average().orElse(0);
  }

  private static Tally.Account account(Tally tally, String caller) {
    return tally.accounts().get(new org.hornbeamusher.ids.CallerId(caller));
  }
}
