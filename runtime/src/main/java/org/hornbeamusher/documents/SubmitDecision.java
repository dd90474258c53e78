package org.hornbeamusher.documents;

import java.util.List;
import java.util.Optional;
import org.hornbeamusher.ids.PartnerId;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.RowKey;
import org.hornbeamusher.table.Transaction;
import org.hornbeamusher.table.Transaction.Condition;
import org.hornbeamusher.table.Transaction.Write;

/**
 * Decides the result of a submission from the rows that were read.
 *
 * <p>An accepted change writes the document's row, the partner's row and the audit row in one
 * transaction, on condition that the revisions read here have not changed. So if two operators read
 * the same version, one commits and the other gets a conflict, and there is never a document
 * without its audit row.
 *
 * <p>Submitting the same text twice with the same base version (because the response to the first
 * submission was lost) is accepted both times and makes one change.
 */
sealed interface SubmitDecision {

  /** Nothing has to be written; the result is final. */
  record NoWrite(SubmitResult result) implements SubmitDecision {}

  /** The transaction has to be committed; if it commits, the result is final. */
  record Commit(Transaction transaction, SubmitResult result) implements SubmitDecision {}

  /**
   * Decides.
   *
   * @param submission the requested change
   * @param documentRow the service's row
   * @param partnerRow the author's partner's row
   * @param now milliseconds
   */
  static SubmitDecision decide(
      Submission submission, Optional<Row> documentRow, Optional<Row> partnerRow, long now) {
    Optional<StoredDocument> current = documentRow.map(DocumentRows::decodeDocument);
    PartnerChanges changes =
        partnerRow.map(DocumentRows::decodeChanges).orElseGet(() -> PartnerChanges.none(now));
    if (!mayChange(submission, current)) {
      return refuse(submission, current, changes, partnerRow, now);
    }
    long currentVersion = current.map(StoredDocument::version).orElse(0L);
    if (currentVersion != submission.baseVersion()) {
      return new NoWrite(conflictOrDuplicate(submission, current, currentVersion));
    }
    Optional<ChangeBudget> remaining = changes.budget().take(now);
    if (remaining.isEmpty()) {
      return new NoWrite(rateLimited(submission, changes, now));
    }
    Optional<StoredDocument> next = nextVersion(submission, current, currentVersion + 1, now);
    if (next.isEmpty()) {
      return new NoWrite(conflictOrDuplicate(submission, current, currentVersion));
    }
    return accept(next.get(), changes, remaining.get(), documentRow, partnerRow);
  }

  private static boolean mayChange(Submission submission, Optional<StoredDocument> current) {
    boolean ownsCurrent =
        current.map(stored -> stored.author().equals(submission.author())).orElse(true);
    boolean ownsNext =
        switch (submission.change()) {
          case Submission.Change.Replace replace -> submission.author().owns(replace.document());
          case Submission.Change.Delete delete -> true;
        };
    return ownsCurrent && ownsNext;
  }

  private static SubmitResult conflictOrDuplicate(
      Submission submission, Optional<StoredDocument> current, long currentVersion) {
    boolean duplicate =
        currentVersion == submission.baseVersion() + 1
            && current.filter(stored -> sameChange(submission.change(), stored)).isPresent();
    if (duplicate) {
      return new SubmitResult.Accepted(submission.change().service(), currentVersion);
    }
    return new SubmitResult.Conflict(
        submission.change().service(), submission.baseVersion(), currentVersion);
  }

  private static boolean sameChange(Submission.Change change, StoredDocument stored) {
    return switch (change) {
      case Submission.Change.Replace replace ->
          !stored.deleted() && stored.text().equals(replace.text());
      case Submission.Change.Delete delete -> stored.deleted();
    };
  }

  /** Empty for the deletion of a service that has no document or is already withdrawn. */
  private static Optional<StoredDocument> nextVersion(
      Submission submission, Optional<StoredDocument> current, long version, long now) {
    return switch (submission.change()) {
      case Submission.Change.Replace replace ->
          Optional.of(stored(submission, version, false, replace.text(), now));
      case Submission.Change.Delete delete ->
          current
              .filter(stored -> !stored.deleted())
              .map(stored -> stored(submission, version, true, stored.text(), now));
    };
  }

  private static StoredDocument stored(
      Submission submission, long version, boolean deleted, String text, long now) {
    return new StoredDocument(
        submission.change().service(),
        version,
        deleted,
        submission.author(),
        now,
        submission.token(),
        text);
  }

  private static SubmitDecision accept(
      StoredDocument next,
      PartnerChanges changes,
      ChangeBudget remaining,
      Optional<Row> documentRow,
      Optional<Row> partnerRow) {
    PartnerId partner = next.author().partner();
    RowKey document = DocumentRows.document(next.service());
    RowKey audit = DocumentRows.audit(partner, next.service(), next.version());
    PartnerChanges updatedChanges =
        changes.withAcceptedChange(next.service(), next.version(), remaining);
    byte[] value = DocumentRows.encodeDocument(next);
    Transaction transaction =
        new Transaction(
            List.of(
                unchanged(document, documentRow),
                unchanged(DocumentRows.partner(partner), partnerRow),
                new Condition.Absent(audit)),
            List.of(
                new Write.Put(document, value),
                new Write.Put(
                    DocumentRows.partner(partner), DocumentRows.encodeChanges(updatedChanges)),
                new Write.Put(audit, value)));
    return new Commit(transaction, new SubmitResult.Accepted(next.service(), next.version()));
  }

  /** Charges the attempt to its author, so that many of them cannot fill another's audit trail. */
  private static SubmitDecision refuse(
      Submission submission,
      Optional<StoredDocument> current,
      PartnerChanges changes,
      Optional<Row> partnerRow,
      long now) {
    Optional<ChangeBudget> remaining = changes.budget().take(now);
    if (remaining.isEmpty()) {
      return new NoWrite(rateLimited(submission, changes, now));
    }
    PartnerId author = submission.author().partner();
    RefusedAttempt attempt =
        new RefusedAttempt(submission.change().service(), submission.author(), now);
    RowKey auditKey = DocumentRows.attempt(owner(submission, current), attempt, submission.token());
    Transaction transaction =
        new Transaction(
            List.of(unchanged(DocumentRows.partner(author), partnerRow)),
            List.of(
                new Write.Put(
                    DocumentRows.partner(author),
                    DocumentRows.encodeChanges(changes.withBudget(remaining.get()))),
                new Write.Put(auditKey, DocumentRows.encodeAttempt(attempt))));
    return new Commit(transaction, new SubmitResult.Forbidden(submission.change().service()));
  }

  private static PartnerId owner(Submission submission, Optional<StoredDocument> current) {
    if (current.isPresent()) {
      return current.get().author().partner();
    }
    return switch (submission.change()) {
      case Submission.Change.Replace replace -> replace.document().partner();
      case Submission.Change.Delete delete -> submission.author().partner();
    };
  }

  private static SubmitResult rateLimited(Submission submission, PartnerChanges changes, long now) {
    long waitMillis = changes.budget().waitMillis(now);
    return new SubmitResult.RateLimited(submission.author().partner(), waitMillis);
  }

  private static Condition unchanged(RowKey key, Optional<Row> row) {
    return row.<Condition>map(found -> new Condition.AtRevision(key, found.revision()))
        .orElseGet(() -> new Condition.Absent(key));
  }
}
