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
  private final SuspectRows firstEntry = new SuspectRows(table, QuarantineSettings.DEFAULT, clock);
  private final SuspectRows secondEntry = new SuspectRows(table, QuarantineSettings.DEFAULT, clock);

  /**
   * The request is retried at two entries at once that both know of its first crash. Guards against
   * both running it; the second must report that it is running.
   */
  @Test
  void suspectRunsAtOnlyOneEntry() {
    firstEntry.crashed(FINGERPRINT).join();
    long until = clock.millis() + 5_000;

    assertInstanceOf(SuspectClaim.Granted.class, firstEntry.begin(FINGERPRINT, until).join());
    assertEquals(
        new SuspectClaim.Refused(FailureType.SUSPECT_RUNNING, 1),
        secondEntry.begin(FINGERPRINT, until).join());

    firstEntry.ended(FINGERPRINT).join();
    assertInstanceOf(SuspectClaim.Granted.class, secondEntry.begin(FINGERPRINT, until).join());
  }

  /** Without a notification of the second crash, the row must prevent a run on a third endpoint. */
  @Test
  void secondCrashIsKnownToAllEntries() {
    firstEntry.crashed(FINGERPRINT).join();
    secondEntry.crashed(FINGERPRINT).join();

    assertEquals(
        new SuspectClaim.Refused(FailureType.QUARANTINED, 2),
        firstEntry.begin(FINGERPRINT, clock.millis() + 5_000).join());
  }

  /** The entry that ran a suspect has died; after the request's deadline another may run it. */
  @Test
  void rightToRunExpiresAtTheDeadline() {
    firstEntry.crashed(FINGERPRINT).join();
    firstEntry.begin(FINGERPRINT, clock.millis() + 5_000).join();

    clock.advance(5_000);

    assertInstanceOf(
        SuspectClaim.Granted.class, secondEntry.begin(FINGERPRINT, clock.millis() + 5_000).join());
  }

  @Test
  void crashesExpireAfterTheQuarantinePeriod() {
    firstEntry.crashed(FINGERPRINT).join();
    firstEntry.crashed(FINGERPRINT).join();

    clock.advance(QuarantineSettings.DEFAULT.quarantineMillis());

    assertInstanceOf(
        SuspectClaim.Granted.class, firstEntry.begin(FINGERPRINT, clock.millis() + 5_000).join());
  }
}
