package org.hornbeamusher.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class HeartbeatMonitorTest {

  private final HeartbeatMonitor monitor = new HeartbeatMonitor(1_000, 3, 0);

  @Test
  void heartbeatsKeepTheConnection() {
    for (long now = 1_000; now < 60_000; now += 1_000) {
      monitor.received(now);
      assertFalse(monitor.checkTimedOut(now + 500));
    }
  }

  /**
   * Something between the two ends has lost track of the connection. Requests sent on it would wait
   * for ever; after three seconds it is abandoned.
   */
  @Test
  void silentConnectionIsFoundAfterThreeMissedBeats() {
    assertFalse(monitor.checkTimedOut(1_000));
    assertFalse(monitor.checkTimedOut(2_000));
    assertTrue(monitor.checkTimedOut(3_000));
    assertEquals(3_000, monitor.millisSinceReceived(3_000));
  }

  /**
   * This process is paused for half a minute. On waking it must not abandon every connection, whose
   * heartbeats it has not read yet; one that is really dead is found an interval later.
   */
  @Test
  void ownPauseIsNotTakenForSilence() {
    assertFalse(monitor.checkTimedOut(1_000));
    assertFalse(monitor.checkTimedOut(31_000));
    assertTrue(monitor.checkTimedOut(32_000));
  }

  @Test
  void heartbeatAfterOwnPauseKeepsTheConnection() {
    assertFalse(monitor.checkTimedOut(31_000));
    monitor.received(31_100);
    assertFalse(monitor.checkTimedOut(32_000));
  }

  /** The wall clock is set back; a dead connection must still be found. */
  @Test
  void clockThatStepsBackDelaysByThePatienceAtMost() {
    monitor.received(100_000);
    assertFalse(monitor.checkTimedOut(50_000));
    assertFalse(monitor.checkTimedOut(51_000));
    assertFalse(monitor.checkTimedOut(52_000));
    assertTrue(monitor.checkTimedOut(53_000));
  }
}
