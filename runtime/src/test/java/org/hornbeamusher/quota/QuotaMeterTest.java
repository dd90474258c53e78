package org.hornbeamusher.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.hornbeamusher.accounts.AccountName;
import org.hornbeamusher.accounts.ClientAccount;
import org.hornbeamusher.accounts.Quota;
import org.junit.jupiter.api.Test;

class QuotaMeterTest {

  private static final long WINDOW_MILLIS = 8_000;
  private static final double OVERSHOOT = 1.1;
  private static final long SLACK = 110_000;
  private static final long LONG_PROMPT = 9_200;
  private static final int ENTRIES = 21;
  private static final long CONFIGURATION_MILLIS = 3_000;
  private static final QuotaTolerance TOLERANCE =
      new QuotaTolerance(WINDOW_MILLIS, OVERSHOOT - 1, SLACK, QuotaTolerance.DEFAULT_USED_SHARE);

  /**
   * The account requests less than its quota, at entries that its callers reach unevenly. Fixed
   * shares refuse requests within the quota; entries that exchange their usage do not.
   */
  @Property(tries = 10, seed = "20261203")
  void requestsWithinTheQuotaAreNotRefused(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    Quota quota = QuotaSimulation.tokens(60_000, 60_000);
    QuotaSimulation shared = new QuotaSimulation(ENTRIES, quota, true, 2, seed);
    QuotaSimulation fixed = new QuotaSimulation(ENTRIES, quota, false, 2, seed);
    for (QuotaSimulation one : new QuotaSimulation[] {shared, fixed}) {
      one.run(3_000, 33_000, LONG_PROMPT, 1);
      one.resetCounts();
      one.run(20_000, 33_000, LONG_PROMPT, 1);
    }
    assertTrue(shared.refusedFraction() < 0.02, "refused " + shared.refusedFraction());
    assertTrue(fixed.refusedFraction() > 0.1, "refused " + fixed.refusedFraction());
  }

  /**
   * Guards against an account that requests many times its quota and exceeds it over all entries.
   */
  @Property(tries = 20, seed = "20261203")
  void hotAccountStaysWithinTheQuota(
      @ForAll @LongRange(min = 29_000, max = 300_000) long rate,
      @ForAll @IntRange(min = 2, max = 12) int times,
      @ForAll @IntRange(min = 1, max = 33) int entries,
      @ForAll @LongRange(min = 1, max = 30) long delay,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    QuotaSimulation all =
        new QuotaSimulation(
            entries, QuotaSimulation.tokens(rate, rate), true, delay, seed, TOLERANCE);
    all.run(4_000, rate / 1.8, LONG_PROMPT, 1);
    all.run(12_000, (double) rate * times, LONG_PROMPT, 1);
    assertWithin(all, rate, 0);
    assertTrue(
        all.admittedSince(all.now() - 8_000) >= 0.75 * 8 * rate,
        "admitted " + all.admittedSince(all.now() - 8_000) + " of " + 8 * rate);
  }

  /** Guards against entries cut off from the relays that go on using the whole quota. */
  @Property(tries = 20, seed = "20261203")
  void partitionedEntriesStayWithinTheQuota(
      @ForAll @LongRange(min = 29_000, max = 300_000) long rate,
      @ForAll @IntRange(min = 2, max = 8) int times,
      @ForAll @IntRange(min = 1, max = ENTRIES) int cut,
      @ForAll boolean hotBefore,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    QuotaSimulation all =
        new QuotaSimulation(ENTRIES, QuotaSimulation.tokens(rate, rate), true, 2, seed, TOLERANCE);
    all.run(6_000, hotBefore ? (double) rate * times : rate / 1.8, LONG_PROMPT, 1);
    for (int i = 0; i < cut; i++) {
      all.setPartitioned(i, true);
    }
    all.run(9_000, (double) rate * times, LONG_PROMPT, 1);
    for (int i = 0; i < cut; i++) {
      all.setPartitioned(i, false);
    }
    all.run(9_000, (double) rate * times, LONG_PROMPT, 1);
    assertWithin(all, rate, 0);
  }

  /**
   * Guards against a partition so long that each side no longer counts the entries of the other.
   */
  @Property(tries = 10, seed = "20261203")
  void entriesStayWithinTheQuotaDuringLongPartition(
      @ForAll @LongRange(min = 29_000, max = 300_000) long rate,
      @ForAll @IntRange(min = 1, max = ENTRIES) int cut,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    QuotaSimulation all =
        new QuotaSimulation(ENTRIES, QuotaSimulation.tokens(rate, rate), true, 2, seed, TOLERANCE);
    all.run(6_000, 2.0 * rate, LONG_PROMPT, 1);
    for (int i = 0; i < cut; i++) {
      all.setPartitioned(i, true);
    }
    all.run(3_000, 2.0 * rate, LONG_PROMPT, 1);
    for (int i = 0; i < cut; i++) {
      all.setPartitionDetected(i, true);
    }
    all.run(40_000, 2.0 * rate, LONG_PROMPT, 1);
    for (int i = 0; i < cut; i++) {
      all.setPartitioned(i, false);
      all.setPartitionDetected(i, false);
    }
    all.run(9_000, 2.0 * rate, LONG_PROMPT, 1);
    assertWithin(all, rate, 0);
  }

  /** Guards against a restart of all entries that grants every account its burst a second time. */
  @Property(tries = 20, seed = "20261203")
  void restartOfAllEntriesDoesNotGrantBurstTwice(
      @ForAll @LongRange(min = 29_000, max = 300_000) long rate,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    QuotaSimulation all =
        new QuotaSimulation(ENTRIES, QuotaSimulation.tokens(rate, rate), true, 2, seed, TOLERANCE);
    all.run(6_000, rate * 4.0, LONG_PROMPT, 1);
    for (int i = 0; i < ENTRIES; i++) {
      all.restart(i);
    }
    all.run(6_000, rate * 4.0, LONG_PROMPT, 1);
    assertWithin(all, rate, 0);
  }

  /** A quota lowered far below the requested rate must be enforced one window later. */
  @Property(tries = 20, seed = "20261203")
  void loweredQuotaIsEnforcedAfterOneWindow(
      @ForAll @IntRange(min = 2, max = 8) int times,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    long before = 250_000;
    long after = 29_000;
    QuotaSimulation all =
        new QuotaSimulation(
            ENTRIES, QuotaSimulation.tokens(before, before), true, 2, seed, TOLERANCE);
    all.run(6_000, before / 1.8, LONG_PROMPT, 1);
    all.configure(QuotaSimulation.tokens(after, after));
    long changed = all.now();
    all.run(20_000, before / 1.8 * times, LONG_PROMPT, 1);
    assertWithin(all, after, changed + WINDOW_MILLIS);
  }

  /**
   * Guards against late refunds that count at once while their charges leave with their own time.
   */
  @Property(tries = 20, seed = "20261205")
  void requestsRefusedAfterTheyWaitedDoNotRaiseTheQuota(
      @ForAll @LongRange(min = 29_000, max = 300_000) long rate,
      @ForAll @IntRange(min = 20, max = 80) int refusedPercent,
      @ForAll @LongRange(min = 1_000, max = 12_000) long wait,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    QuotaSimulation all = simulation(rate, seed);
    all.run(4_000, rate / 1.8, LONG_PROMPT, 1);
    all.refuseAfterCharge(refusedPercent / 100.0, wait);
    all.run(wait + 4_000, rate * 6.0, LONG_PROMPT, 1);
    all.refuseAfterCharge(0, 0);
    all.run(wait + WINDOW_MILLIS, rate * 6.0, LONG_PROMPT, 1);
    assertWithin(all, rate, 2 * rate, 0);
  }

  /** Guards against requests that run after their charge has left the window. */
  @Property(tries = 20, seed = "20261205")
  void requestsThatWaitedDoNotRaiseTheQuota(
      @ForAll @LongRange(min = 29_000, max = 300_000) long rate,
      @ForAll @LongRange(min = 500, max = 15_000) long wait,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    QuotaSimulation all = simulation(rate, seed);
    all.run(10_000, rate / 1.8, LONG_PROMPT, 1);
    all.waitBeforeRun(wait);
    all.run(wait, rate * 6.0, LONG_PROMPT, 1);
    all.waitBeforeRun(0);
    all.run(wait + WINDOW_MILLIS, rate * 6.0, LONG_PROMPT, 1);
    assertWithin(all, rate, 2 * rate, 0);
  }

  /** Guards against second runs that are charged to nobody. */
  @Property(tries = 20, seed = "20261205")
  void secondRunsDoNotRaiseTheQuota(
      @ForAll @LongRange(min = 29_000, max = 300_000) long rate,
      @ForAll @IntRange(min = 5, max = 60) int againPercent,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    QuotaSimulation all = simulation(rate, seed);
    all.runAgain(againPercent / 100.0);
    all.run(10_000, rate / 1.8, LONG_PROMPT, 1);
    all.run(16_000, rate * 6.0, LONG_PROMPT, 1);
    assertWithin(all, rate, 2 * rate, 0);
  }

  /** Guards against usage of ended entries that new relays do not know. */
  @Property(tries = 20, seed = "20261205")
  void lossOfRelaysDoesNotHideUsageOfRestartedEntries(
      @ForAll @LongRange(min = 29_000, max = 300_000) long rate,
      @ForAll @IntRange(min = 1, max = 5) int restarted,
      @ForAll @LongRange(min = 0, max = 20_000) long betweenMillis,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    QuotaSimulation all = simulation(rate, seed);
    all.run(10_000, rate * 6.0, LONG_PROMPT, 1);
    for (int i = 0; i < restarted; i++) {
      all.restart(i);
    }
    all.run(betweenMillis, rate * 6.0, LONG_PROMPT, 1);
    all.loseRelays();
    all.run(12_000, rate * 6.0, LONG_PROMPT, 1);
    assertWithin(all, rate, 2 * rate, 0);
  }

  /** Guards against a burst that is granted before and again after a restart of all entries. */
  @Property(tries = 20, seed = "20261205")
  void restartOfAllEntriesSoonAfterBurstDoesNotRaiseTheQuota(
      @ForAll @LongRange(min = 29_000, max = 300_000) long rate,
      @ForAll @LongRange(min = 500, max = 8_000) long beforeMillis,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    QuotaSimulation all = simulation(rate, seed);
    all.run(10_000, 0, LONG_PROMPT, 1);
    all.run(beforeMillis, rate * 6.0, LONG_PROMPT, 1);
    for (int i = 0; i < ENTRIES; i++) {
      all.restart(i);
    }
    all.run(WINDOW_MILLIS, rate * 6.0, LONG_PROMPT, 1);
    assertWithin(all, rate, 2 * rate, 0);
  }

  /** Guards against an account that gets its quota anew when it returns to the configuration. */
  @Property(tries = 20, seed = "20261205")
  void accountThatReturnsWithinTheWindowDoesNotGetItsQuotaAnew(
      @ForAll @LongRange(min = 29_000, max = 300_000) long rate,
      @ForAll @LongRange(min = 0, max = 5_000) long awayMillis,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    Quota quota = QuotaSimulation.tokens(rate, 2 * rate);
    QuotaSimulation all = new QuotaSimulation(ENTRIES, quota, true, 3, seed, TOLERANCE);
    all.run(10_000, 0, LONG_PROMPT, 1);
    all.run(5_000, rate * 6.0, LONG_PROMPT, 1);
    all.removeAccount();
    all.run(awayMillis, 0, LONG_PROMPT, 1);
    all.configure(quota);
    all.run(WINDOW_MILLIS, rate * 6.0, LONG_PROMPT, 1);
    assertWithin(all, rate, 2 * rate, 0);
  }

  /** Guards against isolated entries that use their share on top of what all have used before. */
  @Property(tries = 20, seed = "20261205")
  void entriesThatLoseAllRelaysDoNotAddTheirShareToPastUsage(
      @ForAll @LongRange(min = 29_000, max = 300_000) long rate,
      @ForAll @IntRange(min = 1, max = ENTRIES) int isolated,
      @ForAll @LongRange(min = 500, max = 8_000) long isolatedMillis,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    QuotaSimulation all = simulation(rate, seed);
    all.run(10_000, rate * 6.0, LONG_PROMPT, 1);
    for (int i = 0; i < isolated; i++) {
      all.setPartitionDetected(i, true);
    }
    all.run(isolatedMillis, rate * 6.0, LONG_PROMPT, 1);
    for (int i = 0; i < isolated; i++) {
      all.setPartitionDetected(i, false);
    }
    all.run(10_000, rate * 6.0, LONG_PROMPT, 1);
    assertWithin(all, rate, 2 * rate, 0);
  }

  /** Guards against updates that arrive regularly, but late, and count as current. */
  @Property(tries = 20, seed = "20261205")
  void updatesThatWaitOnSlowLinksDoNotCountAsCurrent(
      @ForAll @LongRange(min = 29_000, max = 300_000) long rate,
      @ForAll @LongRange(min = 50, max = 2_000) long delayMillis,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    QuotaSimulation all =
        new QuotaSimulation(
            ENTRIES, QuotaSimulation.tokens(rate, rate), true, delayMillis, seed, TOLERANCE);
    all.run(10_000, rate / 1.8, LONG_PROMPT, 1);
    all.run(12_000, rate * 6.0, LONG_PROMPT, 1);
    assertWithin(all, rate, 0);
    assertTrue(
        all.admittedSince(all.now() - 8_000) >= 0.5 * 8 * rate,
        "admitted " + all.admittedSince(all.now() - 8_000) + " of " + 8 * rate);
  }

  /** Guards against isolated entries that forget what the others have used. */
  @Property(tries = 20, seed = "20261206")
  void callersThatMoveWhileNoRelayIsReceivedDoNotRaiseTheQuota(
      @ForAll @LongRange(min = 29_000, max = 300_000) long rate,
      @ForAll @IntRange(min = 2, max = 6) int before,
      @ForAll boolean toAll,
      @ForAll @LongRange(min = 500, max = 3_000) long silentMillis,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    QuotaSimulation all = simulation(rate, seed);
    all.runAt(12_000, rate * 6.0, LONG_PROMPT, 0, before);
    for (int i = 0; i < ENTRIES; i++) {
      all.setPartitioned(i, true);
    }
    int first = toAll ? 0 : before;
    all.runAt(silentMillis, rate * 6.0, LONG_PROMPT, first, ENTRIES);
    for (int i = 0; i < ENTRIES; i++) {
      all.setPartitioned(i, false);
    }
    all.runAt(9_000, rate * 6.0, LONG_PROMPT, first, ENTRIES);
    assertWithin(all, rate, 2 * rate, 0);
  }

  /** Guards against further runs that are never refused when endpoints end together. */
  @Property(tries = 20, seed = "20261206")
  void endpointsThatEndTogetherDoNotRaiseTheQuota(
      @ForAll @LongRange(min = 29_000, max = 300_000) long rate,
      @ForAll @IntRange(min = 1, max = ENTRIES) int reached,
      @ForAll @IntRange(min = 10, max = 60) int lostPercent,
      @ForAll @LongRange(min = 1_000, max = 6_000) long runMillis,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    QuotaSimulation all = simulation(rate, seed);
    all.runAt(12_000, rate * 6.0, LONG_PROMPT, 0, reached);
    all.loseEndpoints(lostPercent / 100.0, runMillis);
    all.runAt(9_000, rate * 6.0, LONG_PROMPT, 0, reached);
    assertWithin(all, rate, 2 * rate, 0);
  }

  /** Guards against entries that report to different relays and each use nearly the whole quota. */
  @Property(tries = 20, seed = "20261206")
  void entriesThatReachDifferentRelaysDoNotRaiseTheQuota(
      @ForAll @LongRange(min = 29_000, max = 300_000) long rate,
      @ForAll @IntRange(min = 1, max = 4) int each,
      @ForAll boolean othersRequest,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    QuotaSimulation all = simulation(rate, seed);
    int end = othersRequest ? ENTRIES : 2 * each;
    all.runAt(10_000, rate / 1.8, LONG_PROMPT, 0, end);
    for (int i = 0; i < 2 * each; i++) {
      for (int agent = i < each ? 1 : 0; agent < QuotaSimulation.AGENTS; agent += 2) {
        all.disconnect(i, agent);
      }
    }
    all.runAt(16_000, rate * 6.0, LONG_PROMPT, 0, end);
    assertWithin(all, rate, 2 * rate, 0);
  }

  /** Guards against entries that have just started and count those connected first as all. */
  @Property(tries = 20, seed = "20261206")
  void connectionsThatOpenSlowlyAfterRestartOfAllDoNotRaiseTheQuota(
      @ForAll @LongRange(min = 29_000, max = 300_000) long rate,
      @ForAll @LongRange(min = 500, max = 6_000) long openMillis,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    QuotaSimulation all = simulation(rate, seed);
    all.run(12_000, rate * 6.0, LONG_PROMPT, 1);
    all.restartAll(openMillis);
    all.run(10_000, rate * 6.0, LONG_PROMPT, 1);
    assertWithin(all, rate, 2 * rate, 0);
  }

  /** As above, with more entries than are assumed. */
  @Tag("known-red")
  @Property(tries = 20, seed = "20261206")
  void connectionsOfManyEntriesThatOpenSlowlyAfterRestartOfAllDoNotRaiseTheQuota(
      @ForAll @LongRange(min = 29_000, max = 300_000) long rate,
      @ForAll @LongRange(min = 500, max = 6_000) long openMillis,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    QuotaSimulation all =
        new QuotaSimulation(
            3 * ENTRIES, QuotaSimulation.tokens(rate, 2 * rate), true, 3, seed, TOLERANCE);
    all.run(12_000, rate * 6.0, LONG_PROMPT, 1);
    all.restartAll(openMillis);
    all.run(10_000, rate * 6.0, LONG_PROMPT, 1);
    assertWithin(all, rate, 2 * rate, 0);
  }

  /**
   * Guards against the usage of ended entries that hides what the living use, after relays ended.
   */
  @Property(tries = 20, seed = "20261206")
  void entriesAndRelaysThatEndTogetherDoNotRaiseTheQuota(
      @ForAll @LongRange(min = 29_000, max = 300_000) long rate,
      @ForAll @IntRange(min = 4, max = 12) int ended,
      @ForAll @LongRange(min = 2_000, max = 12_000) long beforeMillis,
      @ForAll @LongRange(min = 0, max = 3_000) long movedMillis,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    QuotaSimulation all =
        new QuotaSimulation(
            ENTRIES, 12, QuotaSimulation.tokens(rate, 2 * rate), true, 3, seed, TOLERANCE);
    all.shiftRelayClocks();
    all.run(10_000, rate / 1.8, LONG_PROMPT, 1);
    all.runAt(beforeMillis, rate * 6.0, LONG_PROMPT, 0, ended);
    all.endTogether(0, ended, all.currentRelays(), 1_500, 400, 300);
    all.runAt(movedMillis, rate * 6.0, LONG_PROMPT, ended, ENTRIES);
    all.runAt(9_000, rate * 6.0, LONG_PROMPT, 0, ENTRIES);
    assertWithin(all, rate, 2 * rate, 0);
  }

  /** Guards against a quota that entries apply one after the other while some of them start. */
  @Property(tries = 20, seed = "20261206")
  void quotaThatChangesWhileEntriesStartIsNotExceeded(
      @ForAll @LongRange(min = 29_000, max = 300_000) long rate,
      @ForAll @IntRange(min = 1, max = ENTRIES) int ended,
      @ForAll @LongRange(min = 0, max = 6_000) long changedMillis,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    QuotaSimulation all =
        new QuotaSimulation(
            ENTRIES, 12, QuotaSimulation.tokens(8 * rate, 16 * rate), true, 3, seed, TOLERANCE);
    all.run(10_000, rate * 6.0, LONG_PROMPT, 1);
    all.configureWithin(QuotaSimulation.tokens(rate, 2 * rate), CONFIGURATION_MILLIS);
    all.run(changedMillis, rate * 6.0, LONG_PROMPT, 1);
    all.endTogether(0, ended, all.currentRelays(), 1_000, 400, 300);
    all.run(CONFIGURATION_MILLIS, rate * 6.0, LONG_PROMPT, 1);
    long applied = all.now();
    all.run(WINDOW_MILLIS + 10_000, rate * 6.0, LONG_PROMPT, 1);
    assertWithin(all, rate, 2 * rate, applied);
  }

  /** Guards against a permanently lost relay that hides what entries admitted. */
  @Test
  void secondRelayReportsUsageThatTheFirstMissed() {
    QuotaMeter<String> meter = meter(1_000, 1_000);
    meter.relayConnected("r1", 0);
    meter.relayConnected("r2", 0);
    report(meter, "r1", 0, 2, 2, 0);
    report(meter, "r2", 0, 2, 2, 0);
    meter.relayDisconnected("r1");
    report(meter, "r2", 5_000, 2, 2, 1_000);
    assertInstanceOf(QuotaDecision.Exceeded.class, meter.admit(QuotaSimulation.ACCOUNT, 1, 1_100));
  }

  /** Guards against usage that is counted twice because two relays report it. */
  @Test
  void usageReportedByBothRelaysCountsOnce() {
    QuotaMeter<String> meter = meter(1_000, 1_000);
    meter.relayConnected("r1", 0);
    meter.relayConnected("r2", 0);
    report(meter, "r1", 0, 2, 2, 1_000);
    report(meter, "r1", 600, 2, 2, 1_000);
    report(meter, "r2", 600, 2, 2, 1_000);
    assertInstanceOf(QuotaDecision.Admitted.class, meter.admit(QuotaSimulation.ACCOUNT, 1, 1_000));
  }

  /** Guards against refusals within the quota because requests that never ran stay charged. */
  @Test
  void requestThatDidNotRunIsRefunded() {
    QuotaMeter<String> meter = meter(1_000, 1_000);
    QuotaDecision.Admitted first = admitted(meter, 5_000, 1_000);
    assertInstanceOf(QuotaDecision.Exceeded.class, meter.admit(QuotaSimulation.ACCOUNT, 1, 1_001));
    meter.refund(first.charge(), 1_001);
    admitted(meter, 1, 1_002);
    meter.relayConnected("r1", 1_002);
    assertEquals(
        List.of(new UsageAtStep("a", UsageSteps.stepOf(1_000), 1)), meter.takeReport("r1", 1_002));
  }

  /** Guards against a caller that is refused again when it retries at the stated time. */
  @Test
  void requestIsAdmittedAfterItsRetryAfter() {
    QuotaMeter<String> meter = meter(1_000, 1_000);
    admitted(meter, 1_700, 1_000);
    QuotaDecision.Exceeded exceeded =
        assertInstanceOf(
            QuotaDecision.Exceeded.class, meter.admit(QuotaSimulation.ACCOUNT, 10, 1_000));
    admitted(meter, 10, 1_000 + exceeded.retryAfterMillis());
  }

  /** Guards against an excess whose inputs no log line shows. */
  @Test
  void decisionNamesTheUsageItWasBasedOn() {
    QuotaMeter<String> meter = meter(1_000, 1_000);
    admitted(meter, 300, 1_000);
    report(meter, "self", 200, 2, 2, 1_010);
    assertEquals(
        new QuotaState(300, 200, 11_000, 522, 2, 2, 10, UsageCoverage.COMPLETE, false),
        admitted(meter, 1, 1_020).state());
  }

  /** Guards against known usage that decreases without a log line. */
  @Test
  void decreaseOfKnownUsageIsReturned() {
    QuotaMeter<String> meter = meter(1_000, 1_000);
    assertEquals(Map.of(), report(meter, "self", 500, 1, 1, 1_010));
    assertEquals(Map.of(QuotaSimulation.ACCOUNT, 200L), report(meter, "self", 300, 1, 1, 1_020));
  }

  @Test
  void unlimitedAccountIsNeverRefused() {
    QuotaMeter<String> meter =
        new QuotaMeter<>(QuotaSettings.DEFAULT, QuotaTolerance.NONE, () -> 0.5);
    AccountName name = new AccountName("free");
    meter.updateAccounts(
        Map.of(name, new ClientAccount(name, OptionalInt.empty(), Quota.UNLIMITED)), 0);
    assertInstanceOf(QuotaDecision.Admitted.class, meter.admit(name, Long.MAX_VALUE / 2, 0));
    assertEquals(false, meter.active());
  }

  /** Creates the meter of a single entry, which may use the whole quota. */
  private static QuotaMeter<String> meter(long rate, long burst) {
    QuotaMeter<String> meter =
        new QuotaMeter<>(QuotaSettings.DEFAULT, QuotaTolerance.NONE, () -> 0.5);
    meter.updateAccounts(
        Map.of(
            QuotaSimulation.ACCOUNT,
            new ClientAccount(
                QuotaSimulation.ACCOUNT, OptionalInt.empty(), QuotaSimulation.tokens(rate, burst))),
        0);
    meter.relayConnected("self", 0);
    report(meter, "self", 0, 1, 1, 0);
    report(meter, "self", 0, 1, 1, 1_000);
    return meter;
  }

  /** Reports what the other entries used in the current step. */
  private static Map<AccountName, Long> report(
      QuotaMeter<String> meter, String relay, long units, int reachable, int entries, long now) {
    long step = UsageSteps.stepOf(now);
    List<UsageAtStep> usage = units == 0 ? List.of() : List.of(new UsageAtStep("a", step, units));
    return meter.usageReported(
        relay,
        step,
        usage,
        new RelayStatus(now, WINDOW_MILLIS, WINDOW_MILLIS, reachable, entries, List.of(), false),
        now);
  }

  private static QuotaDecision.Admitted admitted(QuotaMeter<String> meter, long cost, long now) {
    return assertInstanceOf(
        QuotaDecision.Admitted.class, meter.admit(QuotaSimulation.ACCOUNT, cost, now));
  }

  private static QuotaSimulation simulation(long rate, long seed) {
    return new QuotaSimulation(
        ENTRIES, QuotaSimulation.tokens(rate, 2 * rate), true, 3, seed, TOLERANCE);
  }

  private static void assertWithin(QuotaSimulation all, long rate, long since) {
    assertWithin(all, rate, rate, since);
  }

  private static void assertWithin(QuotaSimulation all, long rate, long burst, long since) {
    long allowed = Math.round((rate * WINDOW_MILLIS / 1_000 + burst) * OVERSHOOT) + SLACK;
    long max = all.maxInWindow(WINDOW_MILLIS, since);
    assertTrue(max <= allowed, "admitted " + max + " units in a window, allowed " + allowed);
  }
}
