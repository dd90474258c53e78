package org.hornbeamusher.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.hornbeamusher.recovery.RestartedFleet.Pacing;
import org.junit.jupiter.api.Test;

/**
 * All engines have restarted empty, 250 callers have waited since before, and new ones come at the
 * usual rate. Without an order over all engines, so many adapters are loaded at once that none is
 * loaded in time for anybody.
 */
class RecoveryUnderLoadTest {

  private static final int BACKLOG = 250;
  private static final int SEEDS = 5;

  private static RestartedFleet fleet(Pacing pacing, long seed) {
    RestartedFleet fleet = new RestartedFleet(pacing, seed);
    fleet.addBacklog(BACKLOG);
    return fleet;
  }

  private static double onTimeShare(Pacing pacing, long fromSecond, long toSecond) {
    double sum = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      RestartedFleet fleet = fleet(pacing, seed);
      fleet.runUntil(toSecond * 1_000 + RestartedFleet.TARGET_MILLIS);
      sum += fleet.onTimeShare(fromSecond, toSecond);
    }
    return sum / SEEDS;
  }

  /**
   * Guards against callers who waited before the engines were back and are late, and whose adapters
   * are never loaded because others are always more urgent.
   */
  @Test
  void lateCallersAreServedAsWell() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      RestartedFleet fleet = fleet(Pacing.COORDINATED, seed);
      fleet.runUntil(6_000);
      assertEquals(0, fleet.abandoned);
    }
  }

  /** Guards against a first second in which nearly all callers are late. */
  @Test
  void moreCallersAreServedInTimeInTheFirstSeconds() {
    double paced = onTimeShare(Pacing.COORDINATED, 0, 2);
    double unpaced = onTimeShare(Pacing.PER_ENGINE, 0, 2);
    assertTrue(paced >= 0.95, "in time: " + paced);
    assertTrue(paced > unpaced + 0.05, "in time: " + unpaced + " without pacing, now " + paced);
  }

  /** Guards against a pace that holds back loads once the engines hold what is asked for. */
  @Test
  void steadyShareIsReachedAndNotLowerThanWithoutPacing() {
    double paced = onTimeShare(Pacing.COORDINATED, 3, 6);
    double unpaced = onTimeShare(Pacing.PER_ENGINE, 3, 6);
    assertTrue(paced >= unpaced - 0.02, "in time: " + unpaced + " without pacing, now " + paced);
  }

  /** Guards against so many loads that even those for callers in time become too slow. */
  @Test
  void loadsStayWithinTheLimit() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      RestartedFleet fleet = fleet(Pacing.COORDINATED, seed);
      fleet.runUntil(3_000);
      assertTrue(fleet.maxStoreLoads <= fleet.maxLoads(), fleet.maxStoreLoads + " loads");
    }
  }

  /** Guards against loads that stop when the coordinating entry is killed with permits granted. */
  @Test
  void lossOfTheCoordinatorIsBridged() {
    RestartedFleet fleet = fleet(Pacing.COORDINATED, 1);
    fleet.runUntil(200);
    fleet.loseCoordinator(0, true);
    fleet.runUntil(4_600);
    assertTrue(fleet.onTimeShare(1, 4) >= onTimeShare(Pacing.PER_ENGINE, 1, 4) - 0.02);
    assertTrue(fleet.maxStoreLoads <= 2 * RestartedFleet.FULL_SPEED_LOADS);
  }

  /** Guards against loads that stop when the coordinator is alive and does not respond. */
  @Test
  void silentCoordinatorIsReplaced() {
    RestartedFleet fleet = fleet(Pacing.COORDINATED, 1);
    fleet.loseCoordinator(0, false);
    fleet.runUntil(4_600);
    assertTrue(fleet.onTimeShare(0, 2) >= onTimeShare(Pacing.PER_ENGINE, 0, 2));
  }

  /** Guards against twice the loads when a partition makes two entries coordinators. */
  @Test
  void twoCoordinatorsCountEachOthersLoads() {
    RestartedFleet fleet = fleet(Pacing.COORDINATED, 1);
    fleet.runUntil(100);
    fleet.splitAgents();
    fleet.runUntil(3_000);
    assertTrue(
        fleet.maxStoreLoads <= 1.5 * RestartedFleet.FULL_SPEED_LOADS, "" + fleet.maxStoreLoads);
  }
}
