package org.hornbeamusher.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class UsageRelayTest {

  private static final long HOUR_MILLIS = 3_600_000;

  private final UsageRelay<Integer> relay = new UsageRelay<>(QuotaSettings.DEFAULT);

  /** Guards against giving the share of a partitioned entry to the others. */
  @Test
  void lostEntryIsCountedForAnHour() {
    relay.opened(1, "a");
    relay.opened(2, "b");
    relay.closed(2, 0);
    assertEquals(2, relay.size(HOUR_MILLIS - 1));
    assertEquals(1, relay.size(HOUR_MILLIS));
  }

  /** Guards against counting an entry once for each of its restarts. */
  @Test
  void restartedEntryIsCountedOnce() {
    relay.opened(1, "a");
    relay.opened(2, "a");
    relay.closed(1, 0);
    assertEquals(1, relay.size(0));
    relay.closed(2, 0);
    relay.opened(3, "a");
    assertEquals(1, relay.size(0));
  }

  /** Guards against keeping a share for an entry that was taken out of service. */
  @Test
  void leavingEntryIsNotCountedOnceDisconnected() {
    relay.opened(1, "a");
    relay.opened(2, "b");
    relay.left(2);
    assertEquals(2, relay.size(0));
    relay.closed(2, 0);
    assertEquals(1, relay.size(0));
  }
}
