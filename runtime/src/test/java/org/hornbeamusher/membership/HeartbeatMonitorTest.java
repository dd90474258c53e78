package org.hornbeamusher.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class HeartbeatMonitorTest {

  private final HeartbeatMonitor monitor = new HeartbeatMonitor(1_000, 3, 0);

  @Test
  void connectionWithHeartbeatsIsKept() {
    for (long now = 1_000; now < 60_000; now += 1_000) {
      monitor.received(now);
      assertFalse(monitor.checkTimedOut(now + 500));
    }
  }

  /**
   * A network element dropped the state of the connection without notice. Guards against requests
   * that wait on it indefinitely.
   */
  @Test
  void silentConnectionIsDetectedAfterThreeMissedHeartbeats() {
    assertFalse(monitor.checkTimedOut(1_000));
    assertFalse(monitor.checkTimedOut(2_000));
    assertTrue(monitor.checkTimedOut(3_000));
    assertEquals(3_000, monitor.millisSinceReceived(3_000));
  }

  /**
   * After a pause of this process it must not abandon all connections, because their heartbeats are
   * only unread; a connection that is really dead is detected one interval later.
   */
  @Test
  void ownPauseDoesNotCountAsSilence() {
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

  /** A dead connection must still be detected when the clock is set back. */
  @Test
  void clockSetBackDelaysDetectionByTheTimeoutAtMost() {
    monitor.received(100_000);
    assertFalse(monitor.checkTimedOut(50_000));
    assertFalse(monitor.checkTimedOut(51_000));
    assertFalse(monitor.checkTimedOut(52_000));
    assertTrue(monitor.checkTimedOut(53_000));
  }
}
