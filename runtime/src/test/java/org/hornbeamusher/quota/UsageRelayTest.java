package org.hornbeamusher.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class UsageRelayTest {

  private static final long HOUR_MILLIS = 3_600_000;

  private final UsageRelay<Integer> relay = new UsageRelay<>(QuotaSettings.DEFAULT);

  /** Guards against giving the share of a partitioned entry to the others. */
  @Test
  void lostEntryIsCountedForAnHour() {
    relay.entryConnected(1, "a", 1, 0);
    relay.entryConnected(2, "b", 2, 0);
    relay.entryDisconnected(2, 0);
    assertEquals(2, relay.entryCount(HOUR_MILLIS - 1));
    assertEquals(1, relay.entryCount(HOUR_MILLIS));
  }

  /** Guards against counting an entry once for each of its restarts. */
  @Test
  void restartedEntryIsCountedOnce() {
    relay.entryConnected(1, "a", 3, 0);
    relay.entryConnected(2, "a", 4, 0);
    relay.entryDisconnected(1, 0);
    assertEquals(1, relay.entryCount(0));
    relay.entryDisconnected(2, 0);
    relay.entryConnected(3, "a", 5, 0);
    assertEquals(1, relay.entryCount(0));
  }

  /** Guards against keeping a share for an entry that was taken out of service. */
  @Test
  void leavingEntryIsNotCountedOnceDisconnected() {
    relay.entryConnected(1, "a", 6, 0);
    relay.entryConnected(2, "b", 7, 0);
    relay.entryLeaving(2);
    assertEquals(2, relay.entryCount(0));
    relay.entryDisconnected(2, 0);
    assertEquals(1, relay.entryCount(0));
  }
}
