package org.hornbeamusher.suspects;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import org.hornbeamusher.clock.ManualClock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.quarantine.QuarantineSettings;
import org.hornbeamusher.table.InMemoryTable;
import org.junit.jupiter.api.Test;

class SuspectStoreTest {

  private static final long FINGERPRINT = 0x1234L;
  private final ManualClock clock = new ManualClock(1_000_000);
  private final InMemoryTable table = new InMemoryTable();
  private final SuspectStore firstEntry =
      new SuspectStore(table, QuarantineSettings.DEFAULT, clock);
  private final SuspectStore secondEntry =
      new SuspectStore(table, QuarantineSettings.DEFAULT, clock);

  /**
   * The request is retried at two entries at once that both know of its first crash. Guards against
   * both running it; the second must report that it is running.
   */
  @Test
  void suspectRunsAtOnlyOneEntry() {
    firstEntry.recordCrash(FINGERPRINT).join();
    long until = clock.millis() + 5_000;

    assertInstanceOf(SuspectClaim.Granted.class, firstEntry.claim(FINGERPRINT, until).join());
    assertEquals(
        new SuspectClaim.Refused(FailureType.SUSPECT_RUNNING, 1),
        secondEntry.claim(FINGERPRINT, until).join());

    firstEntry.release(FINGERPRINT).join();
    assertInstanceOf(SuspectClaim.Granted.class, secondEntry.claim(FINGERPRINT, until).join());
  }

  /** Without a notification of the second crash, the row must prevent a run on a third endpoint. */
  @Test
  void secondCrashIsKnownToAllEntries() {
    firstEntry.recordCrash(FINGERPRINT).join();
    secondEntry.recordCrash(FINGERPRINT).join();

    assertEquals(
        new SuspectClaim.Refused(FailureType.QUARANTINED, 2),
        firstEntry.claim(FINGERPRINT, clock.millis() + 5_000).join());
  }

  /** The entry that ran a suspect has died; after the request's deadline another may run it. */
  @Test
  void rightToRunExpiresAtTheDeadline() {
    firstEntry.recordCrash(FINGERPRINT).join();
    firstEntry.claim(FINGERPRINT, clock.millis() + 5_000).join();

    clock.advance(5_000);

    assertInstanceOf(
        SuspectClaim.Granted.class, secondEntry.claim(FINGERPRINT, clock.millis() + 5_000).join());
  }

  @Test
  void crashesExpireAfterTheQuarantinePeriod() {
    firstEntry.recordCrash(FINGERPRINT).join();
    firstEntry.recordCrash(FINGERPRINT).join();

    clock.advance(QuarantineSettings.DEFAULT.quarantineMillis());

    assertInstanceOf(
        SuspectClaim.Granted.class, firstEntry.claim(FINGERPRINT, clock.millis() + 5_000).join());
  }
}
