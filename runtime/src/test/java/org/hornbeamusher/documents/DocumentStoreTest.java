package org.hornbeamusher.documents;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.hornbeamusher.clock.ManualClock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.ids.TeamId;
import org.hornbeamusher.table.InMemoryTable;
import org.junit.jupiter.api.Test;

class DocumentStoreTest {

  private static final ServiceName DISPATCH = new ServiceName("lm-dispatch");
  private static final Principal OWNER = principal("zarqa", "dispatch");
  private static final Principal STRANGER = principal("tawhiti", "valuations");

  private final InMemoryTable table = new InMemoryTable();
  private final ManualClock clock = new ManualClock(1_000_000);
  private int drawn;
  private final DocumentStore store =
      new DocumentStore(table, clock, () -> "submission-" + ++drawn);

  @Test
  void acceptsVersionsInOrderAndKeepsThemInTheTrail() {
    assertEquals(accepted(1), submit(7, 0));
    assertEquals(accepted(2), submit(8, 1));

    assertEquals(8, store.read(DISPATCH).join().orElseThrow().limits().maxQueueLength());
    assertEquals(Map.of(DISPATCH, 2L), store.versions().join());
    List<Long> versions =
        store.history(DISPATCH, OWNER, 0, 10).join().stream().map(StoredDocument::version).toList();
    assertEquals(List.of(1L, 2L), versions);
  }

  /**
   * Two operators open version 1 and submit different changes. The second is told which version is
   * in force and which one it was based on, and the first change stands.
   */
  @Test
  void laterOfTwoRacingOperatorsSeesBothVersions() {
    submit(7, 0);
    submit(8, 1);

    SubmitResult second = submit(9, 1);

    assertEquals(new SubmitResult.Conflict(DISPATCH, 1, 2), second);
    assertEquals(
        "lm-dispatch is at version 2, not at the base version 1.",
        second.failure().orElseThrow().getMessage());
  }

  /**
   * Both operators read version 1 before either commits. The compare-and-set lets one through; the
   * other must not overwrite it unseen.
   */
  @Test
  void raceBetweenReadAndCommitIsFound() {
    submit(7, 0);
    table.beforeNextCommit(() -> submit(8, 1));

    assertEquals(new SubmitResult.Conflict(DISPATCH, 1, 2), submit(9, 1));
    assertEquals(8, store.read(DISPATCH).join().orElseThrow().limits().maxQueueLength());
  }

  /**
   * Another team of the partner submits another service at the same moment, so the partner's row
   * moves under the submission. The operator notices nothing.
   */
  @Test
  void raceForThePartnersRowIsRepeated() {
    String other = DocumentTexts.dispatch(5).replace("lm-dispatch", "lm-other");
    table.beforeNextCommit(() -> store.submit("o.toml", other, 0, OWNER).join());

    assertEquals(accepted(1), submit(7, 0));
    assertEquals(2, store.versions().join().size());
  }

  /**
   * The table applies the change and its answer is lost. The operator must be told that the change
   * was accepted, and there must be one change, not two.
   */
  @Test
  void lostAnswerIsSettledByReadingBack() {
    table.loseAnswers(1);

    assertEquals(accepted(1), submit(7, 0));
    assertEquals(1, store.history(DISPATCH, OWNER, 0, 10).join().size());
  }

  /**
   * The answer is lost, and before it is read back a colleague's change follows. The operator's
   * change was accepted all the same and must not be reported as a conflict.
   */
  @Test
  void lostAnswerIsSettledThoughAnotherChangeFollowed() {
    table.loseAnswers(1);
    CompletableFuture<SubmitResult> first =
        new DocumentStore(
                new FollowedTable(table, () -> submit(8, 1)), clock, () -> "the-first-submission")
            .submit("f.toml", DocumentTexts.dispatch(7), 0, OWNER);

    assertEquals(accepted(1), first.join());
    assertEquals(Map.of(DISPATCH, 2L), store.versions().join());
  }

  /**
   * Every answer is lost. What the operator is told must not claim that nothing happened; a second
   * submission of the same text finds the change that was made.
   */
  @Test
  void answersLostForGoodLeaveTheOutcomeUnknown() {
    table.loseAnswers(1);
    CompletableFuture<SubmitResult> result =
        new DocumentStore(new FollowedTable(table, () -> table.down(true)), clock, () -> "s-first")
            .submit("f.toml", DocumentTexts.dispatch(7), 0, OWNER);

    HornbeamusherException failure = failure(result);
    assertEquals(FailureType.PLATFORM_ANSWER_LOST, failure.type());
    assertEquals(Outcome.UNKNOWN, failure.outcome());
    table.down(false);
    assertEquals(accepted(1), submit(7, 0));
    assertEquals(1, store.history(DISPATCH, OWNER, 0, 10).join().size());
  }

  /**
   * A team submits a document that belongs to the other partner. Nothing changes, and the owner
   * finds the attempt in its own trail.
   */
  @Test
  void strangersAttemptIsRefusedAndShownToTheOwner() {
    submit(7, 0);
    String stolen = DocumentTexts.valuer(9).replace("valuer-llm", "lm-dispatch");

    SubmitResult result = store.submit("f.toml", stolen, 1, STRANGER).join();

    assertEquals(new SubmitResult.Forbidden(DISPATCH), result);
    assertEquals(7, store.read(DISPATCH).join().orElseThrow().limits().maxQueueLength());
    assertEquals(
        List.of(new RefusedAttempt(DISPATCH, STRANGER, 1_000_000)),
        store.refusedAttempts(DISPATCH, OWNER, 0, 10).join());
    assertEquals(List.of(), store.refusedAttempts(DISPATCH, STRANGER, 0, 10).join());
  }

  @Test
  void documentThatNamesAnotherTeamThanTheTokenIsRefused() {
    assertEquals(
        new SubmitResult.Forbidden(DISPATCH),
        store.submit("f.toml", DocumentTexts.dispatch(1), 0, principal("zarqa", "plant")).join());
  }

  @Test
  void historyIsReadableByItsOwnPartnerOnly() {
    submit(7, 0);

    assertEquals(
        FailureType.DOCUMENT_FORBIDDEN, failure(store.history(DISPATCH, STRANGER, 0, 9)).type());
  }

  /**
   * A script of one partner submits in a loop. It is slowed down to one change a second; the other
   * partner's change goes through at the same moment.
   */
  @Test
  void stormOfOnePartnerIsThrottledWithoutTheOther() {
    for (int i = 0; i < ChangeBudget.BURST; i++) {
      assertInstanceOf(SubmitResult.Accepted.class, submit(i + 1, i));
    }

    assertEquals(
        new SubmitResult.RateLimited(OWNER.partner(), ChangeBudget.REFILL_MILLIS),
        submit(999, ChangeBudget.BURST));
    assertInstanceOf(
        SubmitResult.Accepted.class,
        store.submit("v.toml", DocumentTexts.valuer(5), 0, STRANGER).join());
    clock.advance(ChangeBudget.REFILL_MILLIS);
    assertEquals(accepted(ChangeBudget.BURST + 1), submit(999, ChangeBudget.BURST));
  }

  @Test
  void deletionIsVersionAndServiceCanReturn() {
    submit(7, 0);

    assertEquals(accepted(2), store.delete(DISPATCH, 1, OWNER).join());
    assertTrue(store.read(DISPATCH).join().orElseThrow().deleted());
    assertEquals(accepted(3), submit(8, 2));
  }

  @Test
  void rollBackMakesNewVersionOfOldText() {
    submit(7, 0);
    submit(8, 1);

    assertEquals(accepted(3), store.rollBack(DISPATCH, 1, 2, OWNER).join());
    assertEquals(7, store.read(DISPATCH).join().orElseThrow().limits().maxQueueLength());
  }

  @Test
  void tableThatIsDownRefusesWithoutEffect() {
    table.down(true);

    HornbeamusherException failure =
        failure(store.submit("f.toml", DocumentTexts.dispatch(7), 0, OWNER));

    assertEquals(FailureType.PLATFORM_UNAVAILABLE, failure.type());
    assertEquals(Outcome.NOT_RUN, failure.outcome());
  }

  private SubmitResult submit(int queue, long base) {
    return store.submit("f.toml", DocumentTexts.dispatch(queue), base, OWNER).join();
  }

  private static SubmitResult accepted(long version) {
    return new SubmitResult.Accepted(DISPATCH, version);
  }

  private static HornbeamusherException failure(CompletableFuture<?> future) {
    return HornbeamusherException.from(assertThrows(CompletionException.class, future::join));
  }

  private static Principal principal(String partner, String team) {
    return new Principal(new PartnerId(partner), new TeamId(team));
  }
}
