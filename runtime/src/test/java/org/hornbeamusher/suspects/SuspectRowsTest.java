package org.hornbeamusher.suspects;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import org.hornbeamusher.clock.ManualClock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.quarantine.QuarantineSettings;
import org.hornbeamusher.table.InMemoryTable;
import org.junit.jupiter.api.Test;

class SuspectRowsTest {

  private static final long FINGERPRINT = 0x1234L;
  private final ManualClock clock = new ManualClock(1_000_000);
  private final InMemoryTable table = new InMemoryTable();
  private final SuspectStore one = new SuspectStore(table, QuarantineSettings.DEFAULT, clock);
  private final SuspectStore other = new SuspectStore(table, QuarantineSettings.DEFAULT, clock);

  /**
   * Two entries that both know of the first crash are sent the request again at once. Only one may
   * run it; the other's caller is told that it runs.
   */
  @Test
  void suspectsRunAtOneEntryOnly() {
    one.recordCrash(FINGERPRINT).join();
    long until = clock.millis() + 5_000;

    assertInstanceOf(SuspectClaim.Granted.class, one.claim(FINGERPRINT, until).join());
    assertEquals(
        new SuspectClaim.Refused(FailureType.SUSPECT_RUNNING, 1),
        other.claim(FINGERPRINT, until).join());

    one.release(FINGERPRINT).join();
    assertInstanceOf(SuspectClaim.Granted.class, other.claim(FINGERPRINT, until).join());
  }

  /** The notice of the second crash is lost; the row still keeps a third endpoint from it. */
  @Test
  void theSecondCrashIsKnownEverywhere() {
    one.recordCrash(FINGERPRINT).join();
    other.recordCrash(FINGERPRINT).join();

    assertEquals(
        new SuspectClaim.Refused(FailureType.QUARANTINED, 2),
        one.claim(FINGERPRINT, clock.millis() + 5_000).join());
  }

  /** The entry that ran a suspect is gone; after the request's deadline another may run it. */
  @Test
  void runsEndWithTheirDeadline() {
    one.recordCrash(FINGERPRINT).join();
    one.claim(FINGERPRINT, clock.millis() + 5_000).join();

    clock.advance(5_000);

    assertInstanceOf(
        SuspectClaim.Granted.class, other.claim(FINGERPRINT, clock.millis() + 5_000).join());
  }

  @Test
  void crashesAreForgottenAfterTheQuarantine() {
    one.recordCrash(FINGERPRINT).join();
    one.recordCrash(FINGERPRINT).join();

    clock.advance(QuarantineSettings.DEFAULT.quarantineMillis());

    assertInstanceOf(
        SuspectClaim.Granted.class, one.claim(FINGERPRINT, clock.millis() + 5_000).join());
  }
}
