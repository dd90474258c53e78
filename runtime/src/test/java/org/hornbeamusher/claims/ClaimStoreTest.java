package org.hornbeamusher.claims;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.hornbeamusher.clock.ManualClock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.ids.ClaimToken;
import org.hornbeamusher.ids.IdempotencyKey;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.table.InMemoryTable;
import org.hornbeamusher.table.RowKey;
import org.hornbeamusher.table.Transaction;
import org.junit.jupiter.api.Test;

class ClaimStoreTest {

  private static final ServiceName BOOKINGS = new ServiceName("haul-api");
  private static final long START_MILLIS = 1_764_700_000_000L;
  private static final long DEADLINE_MILLIS = 10_000;

  private final InMemoryTable table = new InMemoryTable();
  private final ManualClock clock = new ManualClock(START_MILLIS);
  private final IdempotencyKey key = ClaimKey.make(START_MILLIS, 1, 2);
  private int tokenCount;
  private final ClaimStore firstEntry = keeper();
  private final ClaimStore secondEntry = keeper();

  @Test
  void firstClaimIsAcquiredAndLaterOnesAreInProgress() {
    assertInstanceOf(ClaimResult.Acquired.class, claim(firstEntry));

    assertEquals(
        new ClaimResult.InProgress(DEADLINE_MILLIS + ClaimSettings.DEFAULT.graceMillis()),
        claim(secondEntry));
  }

  @Test
  void retryGetsTheStoredResponse() {
    StoredResponse response = new StoredResponse(201, "text/plain", bytes("booked"));
    firstEntry.finish(acquire(firstEntry), Outcome.RAN, Optional.of(response)).join();

    assertEquals(new ClaimResult.Ran(Optional.of(response)), claim(secondEntry));
  }

  @Test
  void tooLongResponseIsNotStored() {
    byte[] body = new byte[StoredResponse.MAXIMUM_LENGTH + 1];
    StoredResponse response = new StoredResponse(200, "text/plain", body);
    firstEntry.finish(acquire(firstEntry), Outcome.RAN, Optional.of(response)).join();

    ClaimResult result = claim(secondEntry);
    assertEquals(new ClaimResult.Ran(Optional.empty()), result);
    assertEquals(FailureType.CLAIM_ALREADY_RAN, result.failure().orElseThrow().type());
  }

  /**
   * A caller whose request was reported as not run retries it at two entries at once. Guards
   * against both of them running it.
   */
  @Test
  void notRunAllowsExactlyOneNewAttempt() {
    firstEntry.finish(acquire(firstEntry), Outcome.NOT_RUN, Optional.empty()).join();
    table.beforeNextCommit(() -> {});
    table.beforeNextCommit(() -> assertInstanceOf(ClaimResult.Acquired.class, claim(secondEntry)));

    assertInstanceOf(ClaimResult.InProgress.class, claim(firstEntry));
  }

  /**
   * The table commits the claim, but its response is lost. The row that is read back contains the
   * entry's own token, so the claim is acquired.
   */
  @Test
  void lostResponseIsResolvedByTheToken() {
    table.loseResponses(1);

    assertInstanceOf(ClaimResult.Acquired.class, claim(firstEntry));
    assertInstanceOf(ClaimResult.InProgress.class, claim(secondEntry));
  }

  /**
   * All responses of the table are lost, but the claim takes effect later. The request was reported
   * as not run, so the old claim must not block the caller's retry.
   */
  @Test
  void abandonedClaimIsReleasedInTheBackground() {
    DelayedTable late = new DelayedTable(table);
    ClaimStore slow =
        new ClaimStore(late, ClaimSettings.DEFAULT, clock, () -> new ClaimToken("slow"));
    late.loseResponses(true);
    ClaimResult refused = claim(slow);
    late.loseResponses(false);
    late.deliver();
    assertEquals(FailureType.CLAIM_UNAVAILABLE, refused.failure().orElseThrow().type());
    assertEquals(1, slow.pendingOutcomeCount());
    assertInstanceOf(ClaimResult.InProgress.class, claim(secondEntry));

    slow.retryPendingWrites();

    assertEquals(0, slow.pendingOutcomeCount());
    assertInstanceOf(ClaimResult.Acquired.class, claim(secondEntry));
  }

  /**
   * An entry abandons a claim that never reached the table, and another entry claims the key.
   * Guards against a release by the first that removes the claim of the second, after which the
   * request could run twice.
   */
  @Test
  void releaseDoesNotChangeAnotherEntrysClaim() {
    DelayedTable late = new DelayedTable(table);
    ClaimStore slow =
        new ClaimStore(late, ClaimSettings.DEFAULT, clock, () -> new ClaimToken("slow"));
    late.loseResponses(true);
    claim(slow);
    late.loseResponses(false);
    assertInstanceOf(ClaimResult.Acquired.class, claim(secondEntry));

    slow.retryPendingWrites();
    late.deliver();

    assertInstanceOf(ClaimResult.InProgress.class, claim(firstEntry));
  }

  /**
   * An abandoned claim reaches the table after its release. If it took effect, it would block the
   * caller's retry, although the request was reported as not run.
   */
  @Test
  void claimThatArrivesAfterItsReleaseHasNoEffect() {
    DelayedTable late = new DelayedTable(table);
    ClaimStore slow =
        new ClaimStore(late, ClaimSettings.DEFAULT, clock, () -> new ClaimToken("slow"));
    late.loseResponses(true);
    claim(slow);
    late.loseResponses(false);
    slow.retryPendingWrites();
    late.deliver();

    assertInstanceOf(ClaimResult.Acquired.class, claim(secondEntry));
  }

  /**
   * The entry that holds the claim dies, but its request may still be running at an agent. The key
   * must read as in progress until the deadline and the grace period have passed, then as unknown
   * for good; a new claim could run the request twice.
   */
  @Test
  void claimOfDeadEntryReadsAsUnknownPermanently() {
    acquire(firstEntry);

    clock.advance(DEADLINE_MILLIS + ClaimSettings.DEFAULT.graceMillis() - 1);
    assertInstanceOf(ClaimResult.InProgress.class, claim(secondEntry));
    clock.advance(1);
    assertInstanceOf(ClaimResult.Unknown.class, claim(secondEntry));
    clock.advance(ClaimSettings.DEFAULT.retentionMillis() / 2);
    assertInstanceOf(ClaimResult.Unknown.class, claim(secondEntry));
  }

  /**
   * An entry is paused between claim and dispatch until after the deadline. It must not dispatch
   * any more, and can still record not run although others have read the claim as unknown.
   */
  @Test
  void pausedEntryFinishesItsClaimAsNotRun() {
    Claim claim = acquire(firstEntry);
    clock.advance(DEADLINE_MILLIS + ClaimSettings.DEFAULT.graceMillis());
    assertInstanceOf(ClaimResult.Unknown.class, claim(secondEntry));

    assertFalse(claim.mayDispatch(clock.millis()));
    firstEntry.finish(claim, Outcome.NOT_RUN, Optional.empty()).join();

    assertInstanceOf(ClaimResult.Acquired.class, claim(secondEntry));
  }

  /**
   * The table commits the claim only after the caller's deadline. The request was reported in time
   * as not run, so the claim must be released or it would block the caller's retry.
   */
  @Test
  void claimAcquiredAfterTheDeadlineIsReleased() {
    DelayedTable late = new DelayedTable(table);
    ClaimStore slow =
        new ClaimStore(late, ClaimSettings.DEFAULT, clock, () -> new ClaimToken("slow"));
    late.delayTransactions();
    ClaimResult result = slow.claim(BOOKINGS, key, "print", START_MILLIS + 1).join();
    assertEquals(FailureType.CLAIM_UNAVAILABLE, result.failure().orElseThrow().type());

    late.deliver();

    assertInstanceOf(ClaimResult.Acquired.class, claim(secondEntry));
  }

  /** Without the table nothing would prevent a second run, so the request is refused. */
  @Test
  void tableDownRefusesAsNotRun() {
    table.down(true);

    ClaimResult result = claim(firstEntry);

    assertEquals(FailureType.CLAIM_UNAVAILABLE, result.failure().orElseThrow().type());
    assertEquals(Outcome.NOT_RUN, result.failure().orElseThrow().outcome());
  }

  /** The table goes down while the request runs; the outcome is written after the outage. */
  @Test
  void outcomeIsWrittenAfterOutage() {
    Claim claim = acquire(firstEntry);
    table.down(true);
    assertFalse(firstEntry.finish(claim, Outcome.RAN, Optional.empty()).join());
    table.down(false);

    firstEntry.retryPendingWrites();

    assertEquals(new ClaimResult.Ran(Optional.empty()), claim(secondEntry));
  }

  /**
   * The response to an outcome write is lost, and the key is claimed again before the write is
   * repeated. Guards against a repetition that overwrites the new claim.
   */
  @Test
  void repeatedOutcomeWriteDoesNotChangeTheNextClaim() {
    Claim claim = acquire(firstEntry);
    table.loseResponses(1);
    table.beforeNextCommit(() -> {});
    table.beforeNextCommit(() -> assertInstanceOf(ClaimResult.Acquired.class, claim(secondEntry)));

    assertTrue(firstEntry.finish(claim, Outcome.NOT_RUN, Optional.empty()).join());

    assertInstanceOf(ClaimResult.InProgress.class, claim(firstEntry));
  }

  @Test
  void keyWithAnotherFingerprintIsRefused() {
    acquire(firstEntry);

    ClaimResult result =
        secondEntry.claim(BOOKINGS, key, "another", START_MILLIS + DEADLINE_MILLIS).join();

    assertEquals(FailureType.CLAIM_KEY_MISMATCH, result.failure().orElseThrow().type());
  }

  /**
   * The row of an old key may have been deleted, so the key would look new and its request would
   * run again; the creation time in the key shows that it is old.
   */
  @Test
  void keyOlderThanTheRetentionIsRefused() {
    clock.advance(ClaimSettings.DEFAULT.retentionMillis() + 1);

    assertEquals(FailureType.CLAIM_KEY_EXPIRED, claim(firstEntry).failure().orElseThrow().type());
  }

  @Test
  void keyWithoutTimeIsRefused() {
    ClaimResult result =
        firstEntry
            .claim(
                BOOKINGS, new IdempotencyKey("booking-7"), "print", START_MILLIS + DEADLINE_MILLIS)
            .join();

    assertEquals(
        "The header Idempotency-Key is not valid: it must be a UUID of version 7.",
        result.failure().orElseThrow().getMessage());
  }

  @Test
  void keyFromTheFutureIsRefused() {
    IdempotencyKey future = ClaimKey.make(START_MILLIS + 7_200_000, 1, 2);

    assertEquals(
        FailureType.INVALID_HEADER,
        firstEntry
            .claim(BOOKINGS, future, "print", START_MILLIS)
            .join()
            .failure()
            .orElseThrow()
            .type());
  }

  @Test
  void cleanerDeletesOnlyRowsThatNoEntryCanClaim() {
    acquire(firstEntry);
    ClaimCleaner cleaner =
        new ClaimCleaner(table, ClaimSettings.DEFAULT, clock, () -> 400, new Random(1));
    long kept = ClaimSettings.DEFAULT.retentionMillis() + 2 * 3_600_000L;

    clock.advance(kept);
    assertEquals(0, cleaner.deleteExpired().join());
    clock.advance(1);
    assertEquals(1, cleaner.deleteExpired().join());
    assertEquals(800_000, cleaner.intervalMillis());
  }

  /** Guards against a foreign row that keeps expired rows from being deleted. */
  @Test
  void cleanerPassesOverRowsThatAreNoClaims() {
    for (String foreign : List.of("", "no separator", "\u0000/x", "/", "x".repeat(150) + "/y")) {
      Transaction.Write put =
          new Transaction.Write.Put(new RowKey(ClaimKey.TABLE, foreign), new byte[0]);
      table.commit(new Transaction(List.of(), List.of(put))).join();
    }
    acquire(firstEntry);
    ClaimCleaner cleaner =
        new ClaimCleaner(table, ClaimSettings.DEFAULT, clock, () -> 400, new Random(1));
    clock.advance(ClaimSettings.DEFAULT.retentionMillis() + 2 * 3_600_000L + 1);
    assertEquals(1, cleaner.deleteExpired().join());
  }

  private ClaimStore keeper() {
    return new ClaimStore(
        table, ClaimSettings.DEFAULT, clock, () -> new ClaimToken("token-" + ++tokenCount));
  }

  private ClaimResult claim(ClaimStore keeper) {
    return keeper.claim(BOOKINGS, key, "print", START_MILLIS + DEADLINE_MILLIS).join();
  }

  private Claim acquire(ClaimStore keeper) {
    return assertInstanceOf(ClaimResult.Acquired.class, claim(keeper)).claim();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
