package org.hornbeamusher.suspects;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import org.hornbeamusher.clock.ManualClock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.quarantine.QuarantineSettings;
import org.hornbeamusher.table.MemoryTable;
import org.junit.jupiter.api.Test;

class SuspectRowsTest {

  private static final long FINGERPRINT = 0x1234L;
  private final ManualClock clock = new ManualClock(1_000_000);
  private final MemoryTable table = new MemoryTable();
  private final SuspectRows one = new SuspectRows(table, QuarantineSettings.DEFAULT, clock);
  private final SuspectRows other = new SuspectRows(table, QuarantineSettings.DEFAULT, clock);

  /**
   * Two entries that both know of the first crash are sent the request again at once. Only one may
   * run it; the other's caller is told that it runs.
   */
  @Test
  void suspectsRunAtOneEntryOnly() {
    one.crashed(FINGERPRINT).join();
    long until = clock.millis() + 5_000;

    assertInstanceOf(SuspectClaim.Granted.class, one.begin(FINGERPRINT, until).join());
    assertEquals(
        new SuspectClaim.Refused(FailureType.SUSPECT_RUNNING, 1),
        other.begin(FINGERPRINT, until).join());

    one.ended(FINGERPRINT).join();
    assertInstanceOf(SuspectClaim.Granted.class, other.begin(FINGERPRINT, until).join());
  }

  /** The notice of the second crash is lost; the row still keeps a third endpoint from it. */
  @Test
  void theSecondCrashIsKnownEverywhere() {
    one.crashed(FINGERPRINT).join();
    other.crashed(FINGERPRINT).join();

    assertEquals(
        new SuspectClaim.Refused(FailureType.QUARANTINED, 2),
        one.begin(FINGERPRINT, clock.millis() + 5_000).join());
  }

  /** The entry that ran a suspect is gone; after the request's deadline another may run it. */
  @Test
  void runsEndWithTheirDeadline() {
    one.crashed(FINGERPRINT).join();
    one.begin(FINGERPRINT, clock.millis() + 5_000).join();

    clock.advance(5_000);

    assertInstanceOf(
        SuspectClaim.Granted.class, other.begin(FINGERPRINT, clock.millis() + 5_000).join());
  }

  @Test
  void crashesAreForgottenAfterTheQuarantine() {
    one.crashed(FINGERPRINT).join();
    one.crashed(FINGERPRINT).join();

    clock.advance(QuarantineSettings.DEFAULT.quarantineMillis());

    assertInstanceOf(
        SuspectClaim.Granted.class, one.begin(FINGERPRINT, clock.millis() + 5_000).join());
  }
}
