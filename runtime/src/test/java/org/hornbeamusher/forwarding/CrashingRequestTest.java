package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** A request that crashes endpoints, at many entries in simulated time. */
class CrashingRequestTest {

  /** The bound of the platform: so much later than the third crash at most three more sends. */
  private static final long CONTACT_MILLIS = 3_000;

  private static final int CRASH_LIMIT = 3;
  private static final int MAX_LATE_SENDS = 3;
  private static final int ENTRIES = 40;
  private static final int ENDPOINTS = 60;
  private static final long END_MILLIS = 20_000;

  @Property(tries = 8, seed = "1")
  void crashingRequestIsRefusedByAllEntries(
      @ForAll @IntRange(max = 10_000) int seed,
      @ForAll @IntRange(min = 40, max = 1_000) int interval) {
    CrashingRequestSimulation simulation = simulation(seed);
    simulation.runUntil(END_MILLIS, interval);
    check(simulation);
    assertTrue(simulation.crashes() >= 3, "the request crashed too few endpoints for a test");
  }

  /** Guards against a request that escapes because its caller leaves before the crash. */
  @Property(tries = 8, seed = "6")
  void crashingRequestIsRefusedWhenItsCallerLeavesEarly(
      @ForAll @IntRange(max = 10_000) int seed,
      @ForAll @IntRange(min = 40, max = 1_000) int interval) {
    CrashingRequestSimulation simulation = simulation(seed);
    simulation.leaveBeforeCrashes();
    simulation.runUntil(END_MILLIS, interval);
    check(simulation);
  }

  /** Guards against tries that are taken for new requests because their queries differ. */
  @Property(tries = 8, seed = "7")
  void crashingRequestIsRefusedThoughItsQueryChanges(
      @ForAll @IntRange(max = 10_000) int seed,
      @ForAll @IntRange(min = 40, max = 1_000) int interval) {
    CrashingRequestSimulation simulation = simulation(seed);
    simulation.changeQueries();
    simulation.runUntil(END_MILLIS, interval);
    check(simulation);
  }

  /** Guards against refusing all requests of a path because one query crashes endpoints. */
  @Property(tries = 8, seed = "8")
  void otherQueriesAreServedBesideTheOneThatCrashes(
      @ForAll @IntRange(max = 10_000) int seed,
      @ForAll @IntRange(min = 40, max = 1_000) int interval) {
    CrashingRequestSimulation simulation = simulation(seed);
    simulation.shareCrashingPath();
    simulation.runUntil(END_MILLIS, interval);
    check(simulation);
  }

  /** Guards against entries that learn of crashes only from others that still run. */
  @Property(tries = 8, seed = "2")
  void crashingRequestIsRefusedWhileEntriesRestart(
      @ForAll @IntRange(max = 10_000) int seed,
      @ForAll @IntRange(min = 40, max = 1_000) int interval) {
    CrashingRequestSimulation simulation = simulation(seed);
    for (int i = 1; i <= 40; i++) {
      simulation.runUntil(i * END_MILLIS / 40, interval);
      simulation.restartEntry(i % ENTRIES);
    }
    check(simulation);
  }

  /** Guards against a quarantine that needs the table or the agents at the moment of the crash. */
  @Property(tries = 8, seed = "3")
  void crashingRequestIsRefusedWithoutTheTableOrWithoutAgents(
      @ForAll @IntRange(max = 10_000) int seed,
      @ForAll @IntRange(min = 40, max = 1_000) int interval,
      @ForAll boolean withoutTable) {
    CrashingRequestSimulation simulation = simulation(seed);
    if (withoutTable) {
      simulation.setTableDown(true);
    } else {
      simulation.stopAgents();
    }
    simulation.runUntil(END_MILLIS, interval);
    check(simulation);
  }

  /** Guards against a quarantine that a restart of all agents and of all entries ends. */
  @Property(tries = 6, seed = "4")
  void quarantineSurvivesRestartsOfAllProcesses(@ForAll @IntRange(max = 10_000) int seed) {
    CrashingRequestSimulation simulation = simulation(seed);
    simulation.runUntil(END_MILLIS / 2, 200);
    final int before = simulation.crashes();
    simulation.restartAgents();
    for (int i = 0; i < ENTRIES; i++) {
      simulation.restartEntry(i);
    }
    simulation.runUntil(END_MILLIS, 200);
    assertTrue(simulation.crashes() <= before + 1, "crashes: " + simulation.crashes());
    check(simulation);
  }

  /** Guards against refusing the requests that run at endpoints that end one after the other. */
  @Property(tries = 8, seed = "5")
  void otherRequestsAreServedWhileEndpointsEndForOtherCauses(
      @ForAll @IntRange(max = 10_000) int seed) {
    CrashingRequestSimulation simulation = simulation(seed);
    for (int i = 1; i <= 40; i++) {
      simulation.runUntil(i * END_MILLIS / 40, 200);
      simulation.endEndpoint();
    }
    check(simulation);
  }

  /** Guards against refusing requests that find nothing for crashes that they did not cause. */
  @Property(tries = 8, seed = "9")
  void requestsThatFindNothingAreServedWhileEndpointsEndForOtherCauses(
      @ForAll @IntRange(max = 10_000) int seed) {
    CrashingRequestSimulation simulation = simulation(seed);
    simulation.setSoundContents(3);
    simulation.setSoundStatus(404);
    for (int i = 1; i <= 40; i++) {
      simulation.runUntil(i * END_MILLIS / 40, 0);
      simulation.endEndpoint();
    }
    check(simulation);
  }

  /** Guards against crashes that are forgotten with the entry that sent the request. */
  @Property(tries = 8, seed = "12")
  void crashingRequestIsRefusedThoughEntriesEndBeforeTheVerdict(
      @ForAll @IntRange(max = 10_000) int seed,
      @ForAll @IntRange(min = 40, max = 1_000) int interval) {
    CrashingRequestSimulation simulation = simulation(seed);
    simulation.endEntriesAfterCrashes();
    simulation.runUntil(END_MILLIS, interval);
    check(simulation);
  }

  private static CrashingRequestSimulation simulation(int seed) {
    return new CrashingRequestSimulation(
        CrashingRequestSimulation.Cause.CONTENT, ENTRIES, ENDPOINTS, seed);
  }

  private static void check(CrashingRequestSimulation simulation) {
    long late = simulation.lateSends(CRASH_LIMIT, CONTACT_MILLIS);
    assertTrue(late <= MAX_LATE_SENDS, late + " sends, " + simulation.crashes() + " crashes");
    assertEquals(0, simulation.refusedOthers(), "refused of " + simulation.servedOthers());
    assertTrue(simulation.servedOthers() > 1_000, "served: " + simulation.servedOthers());
  }
}
