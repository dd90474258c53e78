package org.hornbeamusher.suspects;

import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.quarantine.Quarantine;
import org.hornbeamusher.quarantine.QuarantineSettings;
import org.hornbeamusher.table.CommitResult;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.RowKey;
import org.hornbeamusher.table.Table;
import org.hornbeamusher.table.Transaction;

/**
 * Stores in the platform's table the requests that were running when endpoints crashed, shared by
 * all entries.
 *
 * <p>A notification of a crash may be lost, and two entries that each allow one more run would lose
 * two more endpoints (see {@link Quarantine}). Therefore the row is read and updated by
 * compare-and-set before a suspect is dispatched. Only suspects pay this cost, and crashes are
 * rare. A row whose last crash is older than the quarantine period counts as absent and is
 * overwritten by the next crash.
 */
public final class SuspectStore {

  private static final String TABLE = "suspects";

  /**
   * Maximum commit attempts while other entries write the same row; more would mean that the row
   * changes constantly.
   */
  private static final int MAXIMUM_COMMIT_ATTEMPTS = 4;

  private static final SuspectRow NO_CRASHES = new SuspectRow(0, 0, 0);

  private final Table table;
  private final QuarantineSettings settings;
  private final Clock clock;

  /**
   * Creates a store.
   *
   * @param table the platform's table
   * @param settings crash limit and quarantine period
   * @param clock the clock
   */
  public SuspectStore(Table table, QuarantineSettings settings, Clock clock) {
    this.table = table;
    this.settings = settings;
    this.clock = clock;
  }

  /**
   * Claims the exclusive right to run a suspect.
   *
   * @param fingerprint the suspect's fingerprint
   * @param untilMillis the request's deadline, after which another entry may run the suspect
   * @return never fails; the suspect is refused while the table is down
   */
  public CompletableFuture<SuspectClaim> claim(long fingerprint, long untilMillis) {
    return table
        .read(key(fingerprint))
        .thenCompose(row -> claimRow(fingerprint, row, untilMillis))
        .exceptionally(thrown -> new SuspectClaim.Refused(FailureType.SUSPECT_RUNNING, 0));
  }

  /**
   * Records a crash during a run, which also ends the run.
   *
   * @param fingerprint the suspect's fingerprint
   * @return completes with the new number of crashes; fails while the table is down
   */
  public CompletableFuture<Integer> recordCrash(long fingerprint) {
    return update(fingerprint, row -> row.withCrashAt(clock.millis()), 1);
  }

  /**
   * Records that a run ended without a crash, so that the suspect may run again.
   *
   * @param fingerprint the suspect's fingerprint
   * @return completes with the number of known crashes; fails while the table is down
   */
  public CompletableFuture<Integer> release(long fingerprint) {
    return update(fingerprint, row -> row.withRunningUntil(0), 1);
  }

  private CompletableFuture<SuspectClaim> claimRow(
      long fingerprint, Optional<Row> found, long untilMillis) {
    SuspectRow row = currentRow(found);
    if (row.crashes() >= settings.crashLimit()) {
      return refused(FailureType.QUARANTINED, row);
    }
    if (row.runningUntilMillis() > clock.millis()) {
      return refused(FailureType.SUSPECT_RUNNING, row);
    }
    return put(fingerprint, found, row.withRunningUntil(untilMillis))
        .thenApply(
            result ->
                switch (result) {
                  case CommitResult.Committed committed -> new SuspectClaim.Granted();
                  case CommitResult.Conflict conflict ->
                      new SuspectClaim.Refused(FailureType.SUSPECT_RUNNING, row.crashes());
                });
  }

  private CompletableFuture<Integer> update(
      long fingerprint, UnaryOperator<SuspectRow> change, int commitAttempt) {
    return table
        .read(key(fingerprint))
        .thenCompose(
            found -> {
              SuspectRow changed = change.apply(currentRow(found));
              return put(fingerprint, found, changed)
                  .thenCompose(
                      result -> afterCommit(result, fingerprint, change, changed, commitAttempt));
            });
  }

  private CompletableFuture<Integer> afterCommit(
      CommitResult result,
      long fingerprint,
      UnaryOperator<SuspectRow> change,
      SuspectRow changed,
      int commitAttempt) {
    return switch (result) {
      case CommitResult.Conflict conflict when commitAttempt < MAXIMUM_COMMIT_ATTEMPTS ->
          update(fingerprint, change, commitAttempt + 1);
      default -> CompletableFuture.completedFuture(changed.crashes());
    };
  }

  private CompletableFuture<CommitResult> put(
      long fingerprint, Optional<Row> found, SuspectRow row) {
    RowKey key = key(fingerprint);
    Transaction.Condition condition =
        found
            .<Transaction.Condition>map(
                old -> new Transaction.Condition.AtRevision(key, old.revision()))
            .orElse(new Transaction.Condition.Absent(key));
    return table.commit(
        new Transaction(List.of(condition), List.of(new Transaction.Write.Put(key, row.encode()))));
  }

  private SuspectRow currentRow(Optional<Row> found) {
    return found
        .map(row -> SuspectRow.decode(row.value()))
        .filter(row -> row.lastCrashMillis() + settings.quarantineMillis() > clock.millis())
        .orElse(NO_CRASHES);
  }

  private static CompletableFuture<SuspectClaim> refused(FailureType type, SuspectRow row) {
    return CompletableFuture.completedFuture(new SuspectClaim.Refused(type, row.crashes()));
  }

  private static RowKey key(long fingerprint) {
    return new RowKey(TABLE, HexFormat.of().toHexDigits(fingerprint));
  }
}
