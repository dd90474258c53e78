package org.hornbeamusher.quota;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hornbeamusher.accounts.Quota;
import org.hornbeamusher.accounts.QuotaUnit;

/** The Retry-After of an account that exceeds its quota. */
class QuotaBucketTest {

  private static final long WINDOW_MILLIS = 8_000;
  private static final KnownEntries ENTRIES = new KnownEntries(3, 3, true, false, 0);
  private static final long COST = 1;
  private static final long STEP_MILLIS = 100;
  private static final Quota QUOTA = new Quota(QuotaUnit.REQUESTS, 100, 50, 1);

  /**
   * Guards against a Retry-After that is too short because the usage of this entry and that of the
   * others are considered separately.
   */
  @Property(seed = "30", tries = 300)
  void accountIsAdmittedAfterItsRetryAfter(
      @ForAll @Size(min = 1, max = 30) List<@IntRange(min = -300, max = 300) Integer> taken) {
    assertAdmittedAfterRetryAfter(taken, ENTRIES);
  }

  /** Guards against a Retry-After at which an entry that keeps to its share refuses again. */
  @Property(seed = "30", tries = 300)
  void accountIsAdmittedAfterItsRetryAfterAtAnIsolatedEntry(
      @ForAll @Size(min = 1, max = 30) List<@IntRange(min = -300, max = 300) Integer> taken,
      @ForAll @IntRange(min = 0, max = 3_000) int sharedUntil) {
    assertAdmittedAfterRetryAfter(taken, new KnownEntries(1, 3, false, false, sharedUntil));
  }

  private static void assertAdmittedAfterRetryAfter(List<Integer> taken, KnownEntries known) {
    QuotaBucket drawn =
        new QuotaBucket(
            QuotaSettings.DEFAULT, new QuotaTolerance(WINDOW_MILLIS, 0, 0, 0), QUOTA, 0);
    WindowSum remote = new WindowSum(WINDOW_MILLIS);
    long now = 0;
    for (int units : taken) {
      now += STEP_MILLIS;
      drawn.refill(known, now);
      if (units < 0) {
        drawn.chargeRemote(-units);
        remote.add(-units, now, now);
      } else {
        drawn.charge(units, now);
      }
    }
    drawn.remoteUsageUpdated(remote, known, now);
    if (!drawn.mayAdmit(COST, remote, known, 1, now)) {
      long back = now + drawn.retryAfterMillis(COST, remote, known, now);
      drawn.refill(known, back);
      assertTrue(
          drawn.mayAdmit(COST, remote, known, 1, back),
          "request not admitted after the stated time, at " + back);
    }
  }
}
