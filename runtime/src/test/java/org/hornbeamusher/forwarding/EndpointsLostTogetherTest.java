package org.hornbeamusher.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.hornbeamusher.forwarding.CrashingRequestSimulation.Cause;

/** Endpoints that end together for another cause than a request, at many entries. */
class EndpointsLostTogetherTest {

  private static final int ENTRIES = 40;
  private static final int ENDPOINTS = 60;
  private static final int ZONE = 20;
  private static final int MAX_SKEW_MILLIS = 10_000;
  private static final int NO_CRASHES = 0;
  private static final long LOSS_MILLIS = 500;
  private static final long END_MILLIS = 10_000;

  /** Longer than the time to the loss, so that no part has been answered before. */
  private static final long LONG_RUN_MILLIS = 2_000;

  /** Guards against counting ends of endpoints that ended before the requests were sent. */
  @Property(tries = 8, seed = "1")
  void soundRequestsAreServedByEntriesThatStartWithAnOldList(
      @ForAll @IntRange(max = 10_000) int seed, @ForAll boolean differentContents) {
    CrashingRequestSimulation simulation = simulation(seed, differentContents);
    simulation.runUntil(LOSS_MILLIS, NO_CRASHES);
    simulation.restartAllMachines();
    simulation.runUntil(END_MILLIS, NO_CRASHES);
    checkNoneRefused(simulation);
  }

  /** Guards against counting each end of a lost zone against what ran there. */
  @Property(tries = 8, seed = "2")
  void soundRequestsAreServedWhenZoneIsLostUnderLoad(
      @ForAll @IntRange(max = 10_000) int seed,
      @ForAll boolean differentContents,
      @ForAll @IntRange(max = 200) int spreadMillis) {
    CrashingRequestSimulation simulation = simulation(seed, differentContents);
    simulation.runUntil(LOSS_MILLIS, NO_CRASHES);
    simulation.loseMachines(ZONE, spreadMillis);
    simulation.runUntil(END_MILLIS, NO_CRASHES);
    checkNoneRefused(simulation);
  }

  /** Guards against counting each end of processes that are ended together. */
  @Property(tries = 8, seed = "3")
  void soundRequestsAreServedWhenAllEndpointsAreEndedAtOnce(
      @ForAll @IntRange(max = 10_000) int seed, @ForAll boolean differentContents) {
    CrashingRequestSimulation simulation = simulation(seed, differentContents);
    simulation.runUntil(LOSS_MILLIS, NO_CRASHES);
    simulation.endAllProcesses();
    simulation.runUntil(END_MILLIS, NO_CRASHES);
    checkNoneRefused(simulation);
  }

  /** Guards against records that lose on their way to restarted entries when the ends occurred. */
  @Property(tries = 8, seed = "4")
  void soundRequestsAreServedByEntriesThatReadRecordsOfLostZone(
      @ForAll @IntRange(max = 10_000) int seed, @ForAll boolean differentContents) {
    CrashingRequestSimulation simulation = simulation(seed, differentContents);
    simulation.runUntil(LOSS_MILLIS, NO_CRASHES);
    simulation.loseMachines(ZONE, 0);
    for (int i = 0; i < ENTRIES; i++) {
      simulation.runUntil(2 * LOSS_MILLIS + i * 50L, NO_CRASHES);
      simulation.restartEntry(i);
    }
    simulation.restartAll();
    simulation.runUntil(END_MILLIS, NO_CRASHES);
    checkNoneRefused(simulation);
  }

  /** Guards against ends at one time that look like several because clocks differ. */
  @Property(tries = 8, seed = "6")
  void soundRequestsAreServedWhenZoneIsLostThoughClocksDiffer(
      @ForAll @IntRange(max = 10_000) int seed, @ForAll boolean differentContents) {
    CrashingRequestSimulation simulation = simulation(seed, differentContents);
    simulation.setClockSkew(MAX_SKEW_MILLIS);
    simulation.restartAll();
    simulation.runUntil(LOSS_MILLIS, NO_CRASHES);
    simulation.loseMachines(ZONE, 100);
    simulation.runUntil(END_MILLIS, NO_CRASHES);
    checkNoneRefused(simulation);
  }

  /** Guards against connections lost at one time that look like several because clocks differ. */
  @Property(tries = 8, seed = "7")
  void soundRequestsAreServedWhenAllEndpointsAreEndedThoughClocksDiffer(
      @ForAll @IntRange(max = 10_000) int seed, @ForAll boolean differentContents) {
    CrashingRequestSimulation simulation = simulation(seed, differentContents);
    simulation.setClockSkew(MAX_SKEW_MILLIS);
    simulation.restartAll();
    simulation.runUntil(LOSS_MILLIS, NO_CRASHES);
    simulation.endAllProcesses();
    simulation.runUntil(END_MILLIS, NO_CRASHES);
    checkNoneRefused(simulation);
  }

  /** Guards against a crashing part that escapes because a zone is lost as well. */
  @Property(tries = 8, seed = "5")
  void crashingPartIsRefusedThoughZoneIsLost(
      @ForAll @IntRange(max = 10_000) int seed,
      @ForAll @IntRange(min = 40, max = 1_000) int interval) {
    CrashingRequestSimulation simulation =
        new CrashingRequestSimulation(Cause.PART, ENTRIES, ENDPOINTS, seed);
    simulation.runUntil(LOSS_MILLIS, interval);
    simulation.loseMachines(ZONE, 50);
    simulation.runUntil(2 * END_MILLIS, interval);
    long late = simulation.lateSends(5, 3_000);
    assertTrue(late <= 3, late + " sends, " + simulation.crashes() + " crashes");
  }

  private static CrashingRequestSimulation simulation(int seed, boolean differentContents) {
    CrashingRequestSimulation simulation =
        new CrashingRequestSimulation(
            differentContents ? Cause.PART : Cause.CONTENT, ENTRIES, ENDPOINTS, seed);
    simulation.setRunMillis(LONG_RUN_MILLIS);
    if (!differentContents) {
      simulation.setSoundContents(3);
    }
    return simulation;
  }

  private static void checkNoneRefused(CrashingRequestSimulation simulation) {
    int served = simulation.servedOthers();
    assertTrue(served > 1_000, "served: " + served);
    assertEquals(0, simulation.refusedOthers(), "refused, " + served + " served");
  }
}
