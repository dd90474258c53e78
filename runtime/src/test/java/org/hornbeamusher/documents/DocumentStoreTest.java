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
  private static final Principal OTHER_PARTNER = principal("tawhiti", "valuations");

  private final InMemoryTable table = new InMemoryTable();
  private final ManualClock clock = new ManualClock(1_000_000);
  private int tokenCount;
  private final DocumentStore store =
      new DocumentStore(table, clock, () -> "submission-" + ++tokenCount);

  @Test
  void acceptsVersionsInOrderAndKeepsThemInTheAuditTrail() {
    assertEquals(accepted(1), submit(7, 0));
    assertEquals(accepted(2), submit(8, 1));

    assertEquals(8, store.read(DISPATCH).join().orElseThrow().limits().maxQueueLength());
    assertEquals(Map.of(DISPATCH, 2L), store.versions().join());
    List<Long> versions =
        store.history(DISPATCH, OWNER, 0, 10).join().stream().map(StoredDocument::version).toList();
    assertEquals(List.of(1L, 2L), versions);
  }

  /**
   * Two operators submit different changes of version 1. The second gets a conflict with the
   * current version and its base version, and the first change stays.
   */
  @Test
  void laterOfTwoConcurrentOperatorsSeesBothVersions() {
    submit(7, 0);
    submit(8, 1);

    SubmitResult second = submit(9, 1);

    assertEquals(new SubmitResult.Conflict(DISPATCH, 1, 2), second);
    assertEquals(
        "lm-dispatch is at version 2, not at the base version 1.",
        second.failure().orElseThrow().getMessage());
  }

  /**
   * Two operators read version 1 before either commits. The compare-and-set accepts one; the other
   * must not overwrite it.
   */
  @Test
  void raceBetweenReadAndCommitIsDetected() {
    submit(7, 0);
    table.beforeNextCommit(() -> submit(8, 1));

    assertEquals(new SubmitResult.Conflict(DISPATCH, 1, 2), submit(9, 1));
    assertEquals(8, store.read(DISPATCH).join().orElseThrow().limits().maxQueueLength());
  }

  /**
   * Another team of the partner submits another service at the same time, so the partner's row
   * changes between read and commit. The submission must be retried and accepted.
   */
  @Test
  void raceForThePartnersRowIsRetried() {
    String other = DocumentTexts.dispatch(5).replace("lm-dispatch", "lm-other");
    table.beforeNextCommit(() -> store.submit("o.toml", other, 0, OWNER).join());

    assertEquals(accepted(1), submit(7, 0));
    assertEquals(2, store.versions().join().size());
  }

  /**
   * The table commits the change and its response is lost. The operator must get the result that
   * the change was accepted, and there must be one change, not two.
   */
  @Test
  void lostResponseIsResolvedByReadingBack() {
    table.loseResponses(1);

    assertEquals(accepted(1), submit(7, 0));
    assertEquals(1, store.history(DISPATCH, OWNER, 0, 10).join().size());
  }

  /**
   * The response is lost, and another operator's change follows before the row is read back. The
   * first change was accepted and must not be reported as a conflict.
   */
  @Test
  void lostResponseIsResolvedAfterAnotherChange() {
    table.loseResponses(1);
    CompletableFuture<SubmitResult> first =
        new DocumentStore(
                new AfterCommitTable(table, () -> submit(8, 1)),
                clock,
                () -> "the-first-submission")
            .submit("f.toml", DocumentTexts.dispatch(7), 0, OWNER);

    assertEquals(accepted(1), first.join());
    assertEquals(Map.of(DISPATCH, 2L), store.versions().join());
  }

  /**
   * The response is lost and the row cannot be read back. The failure must have an unknown outcome;
   * a second submission of the same text finds the change that was made.
   */
  @Test
  void lostResponseWithoutReadBackLeavesTheOutcomeUnknown() {
    table.loseResponses(1);
    CompletableFuture<SubmitResult> result =
        new DocumentStore(
                new AfterCommitTable(table, () -> table.down(true)), clock, () -> "s-first")
            .submit("f.toml", DocumentTexts.dispatch(7), 0, OWNER);

    HornbeamusherException failure = failure(result);
    assertEquals(FailureType.PLATFORM_ANSWER_LOST, failure.type());
    assertEquals(Outcome.UNKNOWN, failure.outcome());
    table.down(false);
    assertEquals(accepted(1), submit(7, 0));
    assertEquals(1, store.history(DISPATCH, OWNER, 0, 10).join().size());
  }

  /**
   * A team submits a document that belongs to another partner. Nothing changes, and the owner finds
   * the attempt in its own audit trail.
   */
  @Test
  void changeByAnotherPartnerIsRefusedAndShownToTheOwner() {
    submit(7, 0);
    String stolen = DocumentTexts.valuer(9).replace("valuer-llm", "lm-dispatch");

    SubmitResult result = store.submit("f.toml", stolen, 1, OTHER_PARTNER).join();

    assertEquals(new SubmitResult.Forbidden(DISPATCH), result);
    assertEquals(7, store.read(DISPATCH).join().orElseThrow().limits().maxQueueLength());
    assertEquals(
        List.of(new RefusedAttempt(DISPATCH, OTHER_PARTNER, 1_000_000)),
        store.refusedAttempts(DISPATCH, OWNER, 0, 10).join());
    assertEquals(List.of(), store.refusedAttempts(DISPATCH, OTHER_PARTNER, 0, 10).join());
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
        FailureType.DOCUMENT_FORBIDDEN,
        failure(store.history(DISPATCH, OTHER_PARTNER, 0, 9)).type());
  }

  /**
   * A script of one partner submits in a loop. It is limited to one change a second; the other
   * partner's change is accepted at the same time.
   */
  @Test
  void rateLimitOfOnePartnerDoesNotAffectTheOther() {
    for (int i = 0; i < ChangeBudget.BURST; i++) {
      assertInstanceOf(SubmitResult.Accepted.class, submit(i + 1, i));
    }

    assertEquals(
        new SubmitResult.RateLimited(OWNER.partner(), ChangeBudget.REFILL_MILLIS),
        submit(999, ChangeBudget.BURST));
    assertInstanceOf(
        SubmitResult.Accepted.class,
        store.submit("v.toml", DocumentTexts.valuer(5), 0, OTHER_PARTNER).join());
    clock.advance(ChangeBudget.REFILL_MILLIS);
    assertEquals(accepted(ChangeBudget.BURST + 1), submit(999, ChangeBudget.BURST));
  }

  @Test
  void deletionIsVersionAndServiceCanBeSubmittedAgain() {
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
