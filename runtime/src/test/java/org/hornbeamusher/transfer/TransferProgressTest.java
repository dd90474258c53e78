package org.hornbeamusher.transfer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class TransferProgressTest {

  private static final TransferTimeouts LIMITS = new TransferTimeouts(450, 300);

  private final TransferProgress progress = new TransferProgress(LIMITS, 1_000);

  @Test
  void responseThatDoesNotStartTimesOut() {
    assertEquals(1_450, progress.dueMillis());
  }

  @Test
  void requestThatIsStillBeingSentDoesNotTimeOut() {
    progress.requestPartSent(1_400);
    assertEquals(1_850, progress.dueMillis());
  }

  @Test
  void silentResponseTimesOutAfterStallTimeout() {
    progress.responseStarted(1_200);
    progress.bodyPartReceived(100_000, 1_250);
    assertEquals(1_550, progress.dueMillis());
    assertEquals(new TransferStats(500, 100_000), progress.transfer(1_500));
  }

  /** Guards against using a list that was sent before the process was suspended as a new one. */
  @Test
  void responseThatArrivesAfterItsTimeoutIsOverdue() {
    progress.responseStarted(1_400);
    assertFalse(progress.overdue());
    progress.bodyPartReceived(100, 1_699);
    assertFalse(progress.overdue());
    progress.bodyPartReceived(100, 7_000);
    assertTrue(progress.overdue());
  }

  /** Guards against a response that trickles in and never times out. */
  @Test
  void tricklingResponseTimesOut() {
    progress.responseStarted(1_000);
    for (int now = 1_010; now < 1_300; now += 10) {
      progress.bodyPartReceived(1, now);
    }
    assertEquals(1_300, progress.dueMillis());
  }

  /** Guards against a timeout that depends on the size of a response. */
  @Property(seed = "20261203")
  void responseThatMakesProgressNeverTimesOut(
      @ForAll @IntRange(min = 1, max = 299) int pause,
      @ForAll @IntRange(min = 1, max = 2_000) int parts) {
    TransferProgress large = new TransferProgress(LIMITS, 0);
    large.responseStarted(0);
    long now = 0;
    for (int i = 0; i < parts; i++) {
      now += pause;
      assertTrue(now < large.dueMillis());
      large.bodyPartReceived((int) TransferProgress.MIN_PROGRESS_BYTES, now);
    }
  }

  /** Guards against a retry that fails by the same timeout as the attempt before. */
  @Test
  void retriesGetLongerTimeoutsWithinBounds() {
    assertEquals(new TransferTimeouts(900, 600), LIMITS.afterFailures(1));
    assertEquals(new TransferTimeouts(900, 2_400), LIMITS.afterFailures(100));
    assertEquals(new TransferTimeouts(1_450, 300), LIMITS.afterHold(1_000));
  }
}
