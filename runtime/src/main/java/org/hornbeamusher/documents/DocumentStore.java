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
 * Service documents in the platform's table.
 *
 * <p>Futures fail with {@code PLATFORM_UNAVAILABLE} or {@code PLATFORM_THROTTLED} when nothing was
 * written, and with {@code PLATFORM_ANSWER_LOST} and an unknown outcome when a change may have been
 * accepted. Submitting the same text on the same base again is then safe: it is one change.
 */
public final class DocumentStore {

  /**
   * How often a submission starts over after a race for the partner's row or a lost answer. Races
   * come from the partner's own operators, and {@link ChangeBudget} bounds them.
   */
  private static final int MAXIMUM_ROUNDS = 8;

  private static final int PARTNER_LIMIT = 1_000;

  private final Table table;
  private final Clock clock;
  private final Supplier<String> tokens;

  /**
   * Creates a store.
   *
   * @param table the platform's table
   * @param clock the time
   * @param tokens makes a text that no other submission has, for example a random UUID
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
   * @param author whom the token stands for
   * @return how it ended
   */
  public CompletableFuture<SubmitResult> submit(
      String fileName, String text, long baseVersion, Principal author) {
    return switch (ServiceDocumentReader.read(fileName, text)) {
      case DocumentParseResult.Invalid invalid ->
          CompletableFuture.completedFuture(new SubmitResult.Invalid(invalid.problems()));
      case DocumentParseResult.Valid valid -> {
        Submission.Change change = new Submission.Change.Replace(valid.document(), text);
        yield round(new Submission(change, baseVersion, author, tokens.get()), 1, false);
      }
    };
  }

  /**
   * Withdraws a service.
   *
   * @param service the service
   * @param baseVersion the version in force
   * @param author whom the token stands for
   * @return how it ended
   */
  public CompletableFuture<SubmitResult> delete(
      ServiceName service, long baseVersion, Principal author) {
    Submission.Change change = new Submission.Change.Delete(service);
    return round(new Submission(change, baseVersion, author, tokens.get()), 1, false);
  }

  /**
   * Puts the text of an older version in force again, as a new version.
   *
   * @param service the service
   * @param olderVersion the version whose text is wanted
   * @param baseVersion the version in force
   * @param author whom the token stands for
   * @return how it ended; fails with {@code DOCUMENT_UNKNOWN} when there is no such version
   */
  public CompletableFuture<SubmitResult> rollBack(
      ServiceName service, long olderVersion, long baseVersion, Principal author) {
    return table
        .read(DocumentRows.audit(author.partner(), service, olderVersion))
        .thenCompose(
            row -> {
              StoredDocument older =
                  row.map(DocumentRows::decodeDocument).orElseThrow(() -> unknown(service));
              return submit(service + "@" + olderVersion, older.text(), baseVersion, author);
            });
  }

  /**
   * Returns what is in force, for an operator.
   *
   * @param service the service
   * @param reader whom the token stands for
   * @return the document; fails with {@code DOCUMENT_FORBIDDEN} for another partner's service and
   *     {@code DOCUMENT_UNKNOWN} when there is none
   */
  public CompletableFuture<StoredDocument> readForOperator(ServiceName service, Principal reader) {
    return stored(service)
        .thenApply(
            found -> {
              StoredDocument document = found.orElseThrow(() -> unknown(service));
              if (!document.author().partner().equals(reader.partner())) {
                throw HornbeamusherException.notRun(FailureType.DOCUMENT_FORBIDDEN, service);
              }
              return document;
            });
  }

  /**
   * Returns accepted changes in order. Another partner's trail cannot be named: the key begins with
   * the reader's own partner.
   *
   * @param service the service
   * @param reader whom the token stands for
   * @param afterVersion only later versions; 0 from the start
   * @param limit at most this many
   * @return the changes; fails as {@link #readForOperator} does
   */
  public CompletableFuture<List<StoredDocument>> history(
      ServiceName service, Principal reader, long afterVersion, int limit) {
    String prefix = DocumentRows.auditPrefix(reader.partner(), service);
    String after = prefix + DocumentRows.ordered(afterVersion);
    return readForOperator(service, reader)
        .thenCompose(shown -> table.scan(DocumentRows.TABLE, prefix, after, limit))
        .thenApply(rows -> rows.stream().map(DocumentRows::decodeDocument).toList());
  }

  /**
   * Returns changes that others tried, in order.
   *
   * @param service the service
   * @param reader whom the token stands for
   * @param afterMillis only later attempts; 0 from the start
   * @param limit at most this many
   * @return the attempts on a service of the reader's partner
   */
  public CompletableFuture<List<RefusedAttempt>> refusedAttempts(
      ServiceName service, Principal reader, long afterMillis, int limit) {
    String prefix = DocumentRows.attemptPrefix(reader.partner(), service);
    String after = prefix + DocumentRows.ordered(afterMillis);
    return table
        .scan(DocumentRows.TABLE, prefix, after, limit)
        .thenApply(rows -> rows.stream().map(DocumentRows::decodeAttempt).toList());
  }

  /**
   * Reads the document in force, for a process of the system.
   *
   * @param service the service
   * @return the document or its tombstone; empty when there never was one
   */
  public CompletableFuture<Optional<ServiceDocument>> read(ServiceName service) {
    return stored(service).thenApply(found -> found.map(StoredDocument::document));
  }

  /**
   * Reads the version of every document: one scan of one small row for each partner.
   *
   * @return versions by service, tombstones included
   */
  public CompletableFuture<Map<ServiceName, Long>> versions() {
    return table
        .scan(DocumentRows.TABLE, DocumentRows.PARTNER_PREFIX, "", PARTNER_LIMIT)
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

  private CompletableFuture<SubmitResult> round(Submission submission, int number, boolean lost) {
    return attempt(submission, lost)
        .exceptionally(DocumentStore::failedStep)
        .thenCompose(step -> next(step, submission, number, lost));
  }

  private CompletableFuture<Step> attempt(Submission submission, boolean lost) {
    CompletableFuture<Optional<Row>> document =
        table.read(DocumentRows.document(submission.change().service()));
    CompletableFuture<Optional<Row>> partner =
        table.read(DocumentRows.partner(submission.author().partner()));
    return document
        .thenCombine(
            partner, (row, other) -> SubmitDecision.decide(submission, row, other, clock.millis()))
        .thenCompose(decision -> carryOut(decision, submission, lost));
  }

  private CompletableFuture<Step> carryOut(
      SubmitDecision decision, Submission submission, boolean lost) {
    return switch (decision) {
      case SubmitDecision.Done done when lost -> settle(done.result(), submission);
      case SubmitDecision.Done done ->
          CompletableFuture.completedFuture(new Step.Finished(done.result()));
      case SubmitDecision.Commit commit ->
          table
              .commit(commit.transaction())
              .thenApply(
                  result ->
                      switch (result) {
                        case CommitResult.Committed committed -> new Step.Finished(commit.result());
                        case CommitResult.Conflict conflict -> new Step.Raced();
                      });
    };
  }

  /**
   * Settles a result that was found after an answer had been lost. The lost transaction may have
   * taken effect and have been followed by others; the audit row of its version tells by its token.
   */
  private CompletableFuture<Step> settle(SubmitResult result, Submission submission) {
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
        .thenApply(Step.Finished::new);
  }

  private static Step failedStep(Throwable thrown) {
    HornbeamusherException failure = HornbeamusherException.from(thrown);
    return failure.type() == FailureType.PLATFORM_ANSWER_LOST
        ? new Step.Lost()
        : new Step.Failed(failure);
  }

  private CompletableFuture<SubmitResult> next(
      Step step, Submission submission, int number, boolean lost) {
    boolean last = number == MAXIMUM_ROUNDS;
    return switch (step) {
      case Step.Finished finished -> CompletableFuture.completedFuture(finished.result());
      case Step.Raced raced when !last -> round(submission, number + 1, lost);
      case Step.Lost again when !last -> round(submission, number + 1, true);
      case Step.Raced raced when !lost ->
          CompletableFuture.completedFuture(
              new SubmitResult.RateLimited(
                  submission.author().partner(), ChangeBudget.REFILL_MILLIS));
      case Step.Failed failed when !lost -> CompletableFuture.failedFuture(failed.failure());
      case Step.Raced raced -> CompletableFuture.failedFuture(answerLost("the partner's row"));
      case Step.Lost again -> CompletableFuture.failedFuture(answerLost("every answer was lost"));
      case Step.Failed failed ->
          CompletableFuture.failedFuture(
              answerLost(failed.failure().getMessage()).causedBy(failed.failure()));
    };
  }

  private static HornbeamusherException answerLost(String detail) {
    return HornbeamusherException.of(
        FailureType.PLATFORM_ANSWER_LOST, Outcome.UNKNOWN, "submission: " + detail);
  }

  private static HornbeamusherException unknown(ServiceName service) {
    return HornbeamusherException.notRun(FailureType.DOCUMENT_UNKNOWN, service);
  }

  /** How one round of a submission ended. */
  private sealed interface Step {

    record Finished(SubmitResult result) implements Step {}

    /** A row changed between read and commit. */
    record Raced() implements Step {}

    /** The transaction may have taken effect. */
    record Lost() implements Step {}

    record Failed(HornbeamusherException failure) implements Step {}
  }
}
