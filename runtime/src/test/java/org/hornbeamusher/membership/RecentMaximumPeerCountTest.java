package org.hornbeamusher.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class RecentMaximumPeerCountTest {

  private static final long WINDOW_MILLIS = 30_000;

  private final RecentMaximumPeerCount count = new RecentMaximumPeerCount(WINDOW_MILLIS);

  @Test
  void emptyBeforeTheFirstCount() {
    assertEquals(OptionalInt.empty(), count.maximum());
  }

  /** Guards against shares that grow while the list temporarily lacks peers. */
  @Test
  void maximumHoldsForTheWindow() {
    count.record(5, 0);
    count.record(1, 1_000);
    count.record(2, 2_000);
    assertEquals(OptionalInt.of(5), count.maximum());
    count.record(2, WINDOW_MILLIS);
    assertEquals(OptionalInt.of(5), count.maximum());
    count.record(1, WINDOW_MILLIS + 1);
    assertEquals(OptionalInt.of(2), count.maximum());
  }

  /** Guards against a process in a network partition that assumes that its peers are gone. */
  @Test
  void lastCountHoldsWhileThereAreNoCounts() {
    count.record(400, 0);
    count.record(399, 1_000);
    count.record(1, 100 * WINDOW_MILLIS);
    assertEquals(OptionalInt.of(1), count.maximum());
  }
}
