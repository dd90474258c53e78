package org.hornbeamusher.documents;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.table.CommitResult;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.Table;

/**
 * Reads and writes service documents in the platform's table.
 *
 * <p>Futures fail with {@code PLATFORM_UNAVAILABLE} or {@code PLATFORM_THROTTLED} when nothing was
 * written, and with {@code PLATFORM_ANSWER_LOST} and an unknown outcome when a change may have been
 * accepted. Submitting the same text with the same base version again is then safe: it makes one
 * change only.
 */
public final class DocumentStore {

  /**
   * Maximum attempts of a submission; retried are conflicts on the partner's row and lost
   * responses. Conflicts come from the partner's own operators, and {@link ChangeBudget} limits
   * their rate.
   */
  private static final int MAXIMUM_ATTEMPTS = 8;

  private static final int MAXIMUM_PARTNERS = 1_000;

  private final Table table;
  private final Clock clock;
  private final Supplier<String> tokens;

  /**
   * Creates a store.
   *
   * @param table the platform's table
   * @param clock the clock
   * @param tokens generates a unique token for each submission, for example a random UUID
   */
  public DocumentStore(Table table, Clock clock, Supplier<String> tokens) {
    this.table = table;
    this.clock = clock;
    this.tokens = tokens;
  }

  /**
   * Submits a document.
   *
   * @param fileName the name shown in problems
   * @param text the TOML text
   * @param baseVersion the version it was based on; 0 for a service without a document
   * @param author the author that the operator's token identifies
   * @return the result
   */
  public CompletableFuture<SubmitResult> submit(
      String fileName, String text, long baseVersion, Principal author) {
    return switch (ServiceDocumentReader.read(fileName, text)) {
      case DocumentParseResult.Invalid invalid ->
          CompletableFuture.completedFuture(new SubmitResult.Invalid(invalid.problems()));
      case DocumentParseResult.Valid valid -> {
        Submission.Change change = new Submission.Change.Replace(valid.document(), text);
        yield runAttempt(new Submission(change, baseVersion, author, tokens.get()), 1, false);
      }
    };
  }

  /**
   * Withdraws a service.
   *
   * @param service the service
   * @param baseVersion the current version
   * @param author the author that the operator's token identifies
   * @return the result
   */
  public CompletableFuture<SubmitResult> delete(
      ServiceName service, long baseVersion, Principal author) {
    Submission.Change change = new Submission.Change.Delete(service);
    return runAttempt(new Submission(change, baseVersion, author, tokens.get()), 1, false);
  }

  /**
   * Submits the text of an older version as a new version.
   *
   * @param service the service
   * @param olderVersion the version whose text is submitted
   * @param baseVersion the current version
   * @param author the author that the operator's token identifies
   * @return the result; fails with {@code DOCUMENT_UNKNOWN} when there is no such version
   */
  public CompletableFuture<SubmitResult> rollBack(
      ServiceName service, long olderVersion, long baseVersion, Principal author) {
    return table
        .read(DocumentRows.audit(author.partner(), service, olderVersion))
        .thenCompose(
            row -> {
              StoredDocument older =
                  row.map(DocumentRows::decodeDocument).orElseThrow(() -> documentUnknown(service));
              return submit(service + "@" + olderVersion, older.text(), baseVersion, author);
            });
  }

  /**
   * Reads the current document for an operator.
   *
   * @param service the service
   * @param reader the reader that the operator's token identifies
   * @return the document; fails with {@code DOCUMENT_FORBIDDEN} for another partner's service and
   *     {@code DOCUMENT_UNKNOWN} when there is none
   */
  public CompletableFuture<StoredDocument> readForOperator(ServiceName service, Principal reader) {
    return stored(service)
        .thenApply(
            found -> {
              StoredDocument document = found.orElseThrow(() -> documentUnknown(service));
              if (!document.author().partner().equals(reader.partner())) {
                throw HornbeamusherException.notRun(FailureType.DOCUMENT_FORBIDDEN, service);
              }
              return document;
            });
  }

  /**
   * Returns accepted changes in order. The history of another partner cannot be read, because the
   * key begins with the reader's own partner.
   *
   * @param service the service
   * @param reader the reader that the operator's token identifies
   * @param afterVersion only later versions; 0 for all
   * @param limit maximum number of changes
   * @return the changes; fails as {@link #readForOperator} does
   */
  public CompletableFuture<List<StoredDocument>> history(
      ServiceName service, Principal reader, long afterVersion, int limit) {
    String prefix = DocumentRows.auditPrefix(reader.partner(), service);
    String after = prefix + DocumentRows.sortable(afterVersion);
    return readForOperator(service, reader)
        .thenCompose(shown -> table.scan(DocumentRows.TABLE, prefix, after, limit))
        .thenApply(rows -> rows.stream().map(DocumentRows::decodeDocument).toList());
  }

  /**
   * Returns refused changes of authors that do not own the document, in order.
   *
   * @param service the service
   * @param reader the reader that the operator's token identifies
   * @param afterMillis only later attempts; 0 for all
   * @param limit maximum number of attempts
   * @return the attempts on a service of the reader's partner
   */
  public CompletableFuture<List<RefusedAttempt>> refusedAttempts(
      ServiceName service, Principal reader, long afterMillis, int limit) {
    String prefix = DocumentRows.attemptPrefix(reader.partner(), service);
    String after = prefix + DocumentRows.sortable(afterMillis);
    return table
        .scan(DocumentRows.TABLE, prefix, after, limit)
        .thenApply(rows -> rows.stream().map(DocumentRows::decodeAttempt).toList());
  }

  /**
   * Reads the current document, without a check of permissions.
   *
   * @param service the service
   * @return the document or its tombstone; empty when there never was one
   */
  public CompletableFuture<Optional<ServiceDocument>> read(ServiceName service) {
    return stored(service).thenApply(found -> found.map(StoredDocument::document));
  }

  /**
   * Reads the version of every document with one scan; there is one small row per partner.
   *
   * @return versions by service, tombstones included
   */
  public CompletableFuture<Map<ServiceName, Long>> versions() {
    return table
        .scan(DocumentRows.TABLE, DocumentRows.PARTNER_PREFIX, "", MAXIMUM_PARTNERS)
        .thenApply(
            rows -> {
              Map<ServiceName, Long> versions = new HashMap<>();
              for (Row row : rows) {
                versions.putAll(DocumentRows.decodeChanges(row).versions());
              }
              return versions;
            });
  }

  private CompletableFuture<Optional<StoredDocument>> stored(ServiceName service) {
    return table
        .read(DocumentRows.document(service))
        .thenApply(row -> row.map(DocumentRows::decodeDocument));
  }

  private CompletableFuture<SubmitResult> runAttempt(
      Submission submission, int attempt, boolean responseLost) {
    return readAndCommit(submission, responseLost)
        .exceptionally(DocumentStore::failedOutcome)
        .thenCompose(outcome -> finishOrRetry(outcome, submission, attempt, responseLost));
  }

  private CompletableFuture<AttemptOutcome> readAndCommit(
      Submission submission, boolean responseLost) {
    CompletableFuture<Optional<Row>> document =
        table.read(DocumentRows.document(submission.change().service()));
    CompletableFuture<Optional<Row>> partner =
        table.read(DocumentRows.partner(submission.author().partner()));
    return document
        .thenCombine(
            partner, (row, other) -> SubmitDecision.decide(submission, row, other, clock.millis()))
        .thenCompose(decision -> execute(decision, submission, responseLost));
  }

  private CompletableFuture<AttemptOutcome> execute(
      SubmitDecision decision, Submission submission, boolean responseLost) {
    return switch (decision) {
      case SubmitDecision.NoWrite noWrite when responseLost ->
          resolveLostResponse(noWrite.result(), submission);
      case SubmitDecision.NoWrite noWrite ->
          CompletableFuture.completedFuture(new AttemptOutcome.Finished(noWrite.result()));
      case SubmitDecision.Commit commit ->
          table
              .commit(commit.transaction())
              .thenApply(
                  result ->
                      switch (result) {
                        case CommitResult.Committed committed ->
                            new AttemptOutcome.Finished(commit.result());
                        case CommitResult.Conflict conflict -> new AttemptOutcome.Conflicted();
                      });
    };
  }

  /**
   * Resolves a result that was read after a response had been lost. The transaction may have been
   * committed and other changes may have followed; the audit row of its version contains its token
   * if so.
   */
  private CompletableFuture<AttemptOutcome> resolveLostResponse(
      SubmitResult result, Submission submission) {
    long version = submission.baseVersion() + 1;
    ServiceName service = submission.change().service();
    return table
        .read(DocumentRows.audit(submission.author().partner(), service, version))
        .thenApply(
            row ->
                row.map(DocumentRows::decodeDocument)
                    .filter(stored -> stored.submission().equals(submission.token()))
                    .<SubmitResult>map(own -> new SubmitResult.Accepted(service, version))
                    .orElse(result))
        .thenApply(AttemptOutcome.Finished::new);
  }

  private static AttemptOutcome failedOutcome(Throwable thrown) {
    HornbeamusherException failure = HornbeamusherException.from(thrown);
    return failure.type() == FailureType.PLATFORM_ANSWER_LOST
        ? new AttemptOutcome.ResponseLost()
        : new AttemptOutcome.Failed(failure);
  }

  private CompletableFuture<SubmitResult> finishOrRetry(
      AttemptOutcome outcome, Submission submission, int attempt, boolean responseLost) {
    boolean last = attempt == MAXIMUM_ATTEMPTS;
    return switch (outcome) {
      case AttemptOutcome.Finished finished -> CompletableFuture.completedFuture(finished.result());
      case AttemptOutcome.Conflicted conflicted when !last ->
          runAttempt(submission, attempt + 1, responseLost);
      case AttemptOutcome.ResponseLost lost when !last -> runAttempt(submission, attempt + 1, true);
      case AttemptOutcome.Conflicted conflicted when !responseLost ->
          CompletableFuture.completedFuture(
              new SubmitResult.RateLimited(
                  submission.author().partner(), ChangeBudget.REFILL_MILLIS));
      case AttemptOutcome.Failed failed when !responseLost ->
          CompletableFuture.failedFuture(failed.failure());
      case AttemptOutcome.Conflicted conflicted ->
          CompletableFuture.failedFuture(lostResponseFailure("the partner's row"));
      case AttemptOutcome.ResponseLost lost ->
          CompletableFuture.failedFuture(lostResponseFailure("every answer was lost"));
      case AttemptOutcome.Failed failed ->
          CompletableFuture.failedFuture(
              lostResponseFailure(failed.failure().getMessage()).causedBy(failed.failure()));
    };
  }

  private static HornbeamusherException lostResponseFailure(String detail) {
    return HornbeamusherException.of(
        FailureType.PLATFORM_ANSWER_LOST, Outcome.UNKNOWN, "submission: " + detail);
  }

  private static HornbeamusherException documentUnknown(ServiceName service) {
    return HornbeamusherException.notRun(FailureType.DOCUMENT_UNKNOWN, service);
  }

  /** Outcome of one attempt of a submission. */
  private sealed interface AttemptOutcome {

    record Finished(SubmitResult result) implements AttemptOutcome {}

    /** A row changed between read and commit. */
    record Conflicted() implements AttemptOutcome {}

    /** The response to the commit was lost; the transaction may have been committed. */
    record ResponseLost() implements AttemptOutcome {}

    record Failed(HornbeamusherException failure) implements AttemptOutcome {}
  }
}
