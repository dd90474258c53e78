package org.hornbeamusher.claims;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;
import org.hornbeamusher.clock.ManualClock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.ids.ClaimToken;
import org.hornbeamusher.ids.IdempotencyKey;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.table.InMemoryTable;
import org.junit.jupiter.api.Test;

class ClaimKeeperTest {

  private static final ServiceName BOOKINGS = new ServiceName("haul-api");
  private static final long START = 1_764_700_000_000L;
  private static final long DEADLINE = 10_000;

  private final InMemoryTable table = new InMemoryTable();
  private final ManualClock clock = new ManualClock(START);
  private final IdempotencyKey key = ClaimKey.make(START, 1, 2);
  private int drawn;
  private final ClaimStore first = keeper();
  private final ClaimStore second = keeper();

  @Test
  void firstSendWinsAndLaterOnesWait() {
    assertInstanceOf(ClaimResult.Acquired.class, claim(first));

    assertEquals(
        new ClaimResult.InProgress(DEADLINE + ClaimSettings.STANDARD.graceMillis()), claim(second));
  }

  @Test
  void resendGetsTheStoredAnswer() {
    StoredResponse answer = new StoredResponse(201, "text/plain", bytes("booked"));
    first.finish(win(first), Outcome.RAN, Optional.of(answer)).join();

    assertEquals(new ClaimResult.Ran(Optional.of(answer)), claim(second));
  }

  @Test
  void answerThatIsTooLongIsNotKept() {
    byte[] body = new byte[StoredResponse.MAXIMUM_LENGTH + 1];
    StoredResponse answer = new StoredResponse(200, "text/plain", body);
    first.finish(win(first), Outcome.RAN, Optional.of(answer)).join();

    ClaimResult result = claim(second);
    assertEquals(new ClaimResult.Ran(Optional.empty()), result);
    assertEquals(FailureType.CLAIM_ALREADY_RAN, result.failure().orElseThrow().type());
  }

  /**
   * The caller was told that its booking was not run and sends it again, to two entries at once.
   * One of them runs it; the other must not.
   */
  @Test
  void notRunAllowsExactlyOneNewAttempt() {
    first.finish(win(first), Outcome.NOT_RUN, Optional.empty()).join();
    table.beforeNextCommit(() -> {});
    table.beforeNextCommit(() -> assertInstanceOf(ClaimResult.Acquired.class, claim(second)));

    assertInstanceOf(ClaimResult.InProgress.class, claim(first));
  }

  /**
   * The table takes the claim and its answer is lost. Read back, the row shows the entry's own
   * token; the caller's booking goes on as if nothing had happened.
   */
  @Test
  void lostAnswerIsSettledByTheToken() {
    table.loseAnswers(1);

    assertInstanceOf(ClaimResult.Acquired.class, claim(first));
    assertInstanceOf(ClaimResult.InProgress.class, claim(second));
  }

  /**
   * Every answer of the table is lost, and the claim takes effect after all. The caller is told
   * that the booking was not run, so its next send must run and must not meet the old claim.
   */
  @Test
  void claimGivenUpIsReleasedInTheBackground() {
    LateTable late = new LateTable(table);
    ClaimStore slow =
        new ClaimStore(late, ClaimSettings.STANDARD, clock, () -> new ClaimToken("slow"));
    late.loseAll(true);
    ClaimResult refused = claim(slow);
    late.loseAll(false);
    late.deliverLate();
    assertEquals(FailureType.CLAIM_UNAVAILABLE, refused.failure().orElseThrow().type());
    assertEquals(1, slow.unwritten());
    assertInstanceOf(ClaimResult.InProgress.class, claim(second));

    slow.retryPendingWrites();

    assertEquals(0, slow.unwritten());
    assertInstanceOf(ClaimResult.Acquired.class, claim(second));
  }

  /**
   * An entry gives up a claim that never reached the table, and another entry claims the key. The
   * release of the first must not touch the claim of the second, or the booking could run twice.
   */
  @Test
  void releaseLeavesAnotherEntrysClaimAlone() {
    LateTable late = new LateTable(table);
    ClaimStore slow =
        new ClaimStore(late, ClaimSettings.STANDARD, clock, () -> new ClaimToken("slow"));
    late.loseAll(true);
    claim(slow);
    late.loseAll(false);
    assertInstanceOf(ClaimResult.Acquired.class, claim(second));

    slow.retryPendingWrites();
    late.deliverLate();

    assertInstanceOf(ClaimResult.InProgress.class, claim(first));
  }

  /**
   * The claim of an entry that gave up reaches the table late, after its release. It must not take
   * effect: the caller was told not-run, and its next send would find the key taken.
   */
  @Test
  void claimThatArrivesAfterItsReleaseHasNoEffect() {
    LateTable late = new LateTable(table);
    ClaimStore slow =
        new ClaimStore(late, ClaimSettings.STANDARD, clock, () -> new ClaimToken("slow"));
    late.loseAll(true);
    claim(slow);
    late.loseAll(false);
    slow.retryPendingWrites();
    late.deliverLate();

    assertInstanceOf(ClaimResult.Acquired.class, claim(second));
  }

  /**
   * The entry that holds the claim dies. Its request may be running at an agent, so the key reads
   * as in progress until the deadline and as unknown for ever after. It never runs again.
   */
  @Test
  void claimOfDeadEntryReadsAsUnknownForEver() {
    win(first);

    clock.advance(DEADLINE + ClaimSettings.STANDARD.graceMillis() - 1);
    assertInstanceOf(ClaimResult.InProgress.class, claim(second));
    clock.advance(1);
    assertInstanceOf(ClaimResult.Unknown.class, claim(second));
    clock.advance(ClaimSettings.STANDARD.retentionMillis() / 2);
    assertInstanceOf(ClaimResult.Unknown.class, claim(second));
  }

  /**
   * An entry is paused between claim and dispatch and wakes after the deadline. It finds that it
   * may not dispatch any more and ends the claim as not run, after others have read it as unknown.
   */
  @Test
  void pausedEntryEndsItsClaimAsNotRun() {
    Claim claim = win(first);
    clock.advance(DEADLINE + ClaimSettings.STANDARD.graceMillis());
    assertInstanceOf(ClaimResult.Unknown.class, claim(second));

    assertFalse(claim.mayDispatch(clock.millis()));
    first.finish(claim, Outcome.NOT_RUN, Optional.empty()).join();

    assertInstanceOf(ClaimResult.Acquired.class, claim(second));
  }

  /**
   * The table takes longer for the claim than the caller's deadline. The caller is told in time
   * that its booking was not run, so the claim that is won afterwards must not bar its next send.
   */
  @Test
  void claimWonAfterTheDeadlineIsGivenBack() {
    LateTable late = new LateTable(table);
    ClaimStore slow =
        new ClaimStore(late, ClaimSettings.STANDARD, clock, () -> new ClaimToken("slow"));
    late.answerLate();
    ClaimResult result = slow.claim(BOOKINGS, key, "print", START + 1).join();
    assertEquals(FailureType.CLAIM_UNAVAILABLE, result.failure().orElseThrow().type());

    late.deliverLate();

    assertInstanceOf(ClaimResult.Acquired.class, claim(second));
  }

  /** The table is down: a booking is refused as not run, because nothing would stop a second. */
  @Test
  void tableDownRefusesAsNotRun() {
    table.down(true);

    ClaimResult result = claim(first);

    assertEquals(FailureType.CLAIM_UNAVAILABLE, result.failure().orElseThrow().type());
    assertEquals(Outcome.NOT_RUN, result.failure().orElseThrow().outcome());
  }

  /** The table goes down while the booking runs; its end is written when the table is back. */
  @Test
  void endIsWrittenAfterOutage() {
    Claim claim = win(first);
    table.down(true);
    assertFalse(first.finish(claim, Outcome.RAN, Optional.empty()).join());
    table.down(false);

    first.retryPendingWrites();

    assertEquals(new ClaimResult.Ran(Optional.empty()), claim(second));
  }

  /** The answer to the end is lost, and the caller has sent again before it is repeated. */
  @Test
  void repeatedEndLeavesTheNextClaimAlone() {
    Claim claim = win(first);
    table.loseAnswers(1);
    table.beforeNextCommit(() -> {});
    table.beforeNextCommit(() -> assertInstanceOf(ClaimResult.Acquired.class, claim(second)));

    assertTrue(first.finish(claim, Outcome.NOT_RUN, Optional.empty()).join());

    assertInstanceOf(ClaimResult.InProgress.class, claim(first));
  }

  @Test
  void keyOfAnotherRequestIsRefused() {
    win(first);

    ClaimResult result = second.claim(BOOKINGS, key, "another", START + DEADLINE).join();

    assertEquals(FailureType.CLAIM_KEY_MISMATCH, result.failure().orElseThrow().type());
  }

  /**
   * A caller repeats a booking from long ago. Its row may have been removed, so the key would look
   * like a new one; its own time tells that it is not.
   */
  @Test
  void keyOlderThanTheRetentionIsRefused() {
    clock.advance(ClaimSettings.STANDARD.retentionMillis() + 1);

    assertEquals(FailureType.CLAIM_KEY_EXPIRED, claim(first).failure().orElseThrow().type());
  }

  @Test
  void keyWithoutTimeIsRefused() {
    ClaimResult result =
        first.claim(BOOKINGS, new IdempotencyKey("booking-7"), "print", START + DEADLINE).join();

    assertEquals(
        "The header Idempotency-Key is not valid: it must be a UUID of version 7.",
        result.failure().orElseThrow().getMessage());
  }

  @Test
  void keyFromTheFutureIsRefused() {
    IdempotencyKey future = ClaimKey.make(START + 7_200_000, 1, 2);

    assertEquals(
        FailureType.INVALID_HEADER,
        first.claim(BOOKINGS, future, "print", START).join().failure().orElseThrow().type());
  }

  @Test
  void cleanerRemovesOnlyRowsThatNobodyCanClaim() {
    win(first);
    ClaimCleaner cleaner =
        new ClaimCleaner(table, ClaimSettings.STANDARD, clock, () -> 400, new Random(1));
    long kept = ClaimSettings.STANDARD.retentionMillis() + 2 * 3_600_000L;

    clock.advance(kept);
    assertEquals(0, cleaner.clean().join());
    clock.advance(1);
    assertEquals(1, cleaner.clean().join());
    assertEquals(800_000, cleaner.intervalMillis());
  }

  private ClaimStore keeper() {
    return new ClaimStore(
        table, ClaimSettings.STANDARD, clock, () -> new ClaimToken("token-" + ++drawn));
  }

  private ClaimResult claim(ClaimStore keeper) {
    return keeper.claim(BOOKINGS, key, "print", START + DEADLINE).join();
  }

  private Claim win(ClaimStore keeper) {
    return assertInstanceOf(ClaimResult.Acquired.class, claim(keeper)).claim();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
