package org.hornbeamusher.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class UsageRelayTest {

  private static final long HOUR_MILLIS = 3_600_000;

  private final UsageRelay<Integer> relay = new UsageRelay<>(QuotaSettings.DEFAULT);

  /** Guards against an entry behind a partition whose share is given to the others. */
  @Test
  void entryThatIsLostIsCountedForAnHour() {
    relay.opened(1, "a");
    relay.opened(2, "b");
    relay.closed(2, 0);
    assertEquals(2, relay.size(HOUR_MILLIS - 1));
    assertEquals(1, relay.size(HOUR_MILLIS));
  }

  /** Guards against entries that are counted once for each of their starts. */
  @Test
  void entryThatStartsAgainTakesItsPlace() {
    relay.opened(1, "a");
    relay.opened(2, "a");
    relay.closed(1, 0);
    assertEquals(1, relay.size(0));
    relay.closed(2, 0);
    relay.opened(3, "a");
    assertEquals(1, relay.size(0));
  }

  /** Guards against a share that is kept for an entry that was taken out of service. */
  @Test
  void entryThatLeavesIsNotCounted() {
    relay.opened(1, "a");
    relay.opened(2, "b");
    relay.left(2);
    assertEquals(2, relay.size(0));
    relay.closed(2, 0);
    assertEquals(1, relay.size(0));
  }
}
