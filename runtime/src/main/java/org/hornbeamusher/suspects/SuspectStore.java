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
 * What all entries together know of requests that were running when endpoints crashed.
 *
 * <p>{@link Quarantine} says why: a notice of a crash may be lost, and two entries that each allow
 * one more run would lose two more endpoints. The row is read and written by compare-and-set before
 * a suspect is dispatched; only suspects pay for it, and crashes are rare. A row older than the
 * quarantine counts as absent and is overwritten by the next crash.
 */
public final class SuspectStore {

  private static final String TABLE = "suspects";

  /**
   * Rounds against entries that write the same row; more would mean a row under constant change.
   */
  private static final int MAXIMUM_ROUNDS = 4;

  private static final SuspectRow NONE = new SuspectRow(0, 0, 0);

  private final Table table;
  private final QuarantineSettings settings;
  private final Clock clock;

  /**
   * Creates a client of the rows.
   *
   * @param table the platform's table
   * @param settings how long crashes count
   * @param clock the clock
   */
  public SuspectStore(Table table, QuarantineSettings settings, Clock clock) {
    this.table = table;
    this.settings = settings;
    this.clock = clock;
  }

  /**
   * Asks to run a suspect alone.
   *
   * @param fingerprint the suspect
   * @param untilMillis the request's deadline; after it another entry may run the suspect
   * @return never fails; with the table down the suspect is refused
   */
  public CompletableFuture<SuspectClaim> claim(long fingerprint, long untilMillis) {
    return table
        .read(key(fingerprint))
        .thenCompose(row -> claim(fingerprint, row, untilMillis))
        .exceptionally(thrown -> new SuspectClaim.Refused(FailureType.SUSPECT_RUNNING, 0));
  }

  /**
   * Records a crash during a run.
   *
   * @param fingerprint the suspect
   * @return completes with the crashes known now; fails while the table is down
   */
  public CompletableFuture<Integer> recordCrash(long fingerprint) {
    return update(fingerprint, row -> row.crashedAt(clock.millis()), 1);
  }

  /**
   * Records that a run ended without a crash.
   *
   * @param fingerprint the suspect
   * @return completes when the suspect may run again; fails while the table is down
   */
  public CompletableFuture<Integer> release(long fingerprint) {
    return update(fingerprint, row -> row.runningUntil(0), 1);
  }

  private CompletableFuture<SuspectClaim> claim(
      long fingerprint, Optional<Row> found, long untilMillis) {
    SuspectRow row = current(found);
    if (row.crashes() >= settings.crashLimit()) {
      return refused(FailureType.QUARANTINED, row);
    }
    if (row.runningUntilMillis() > clock.millis()) {
      return refused(FailureType.SUSPECT_RUNNING, row);
    }
    return put(fingerprint, found, row.runningUntil(untilMillis))
        .thenApply(
            result ->
                switch (result) {
                  case CommitResult.Committed committed -> new SuspectClaim.Granted();
                  case CommitResult.Conflict conflict ->
                      new SuspectClaim.Refused(FailureType.SUSPECT_RUNNING, row.crashes());
                });
  }

  private CompletableFuture<Integer> update(
      long fingerprint, UnaryOperator<SuspectRow> change, int round) {
    return table
        .read(key(fingerprint))
        .thenCompose(
            found -> {
              SuspectRow changed = change.apply(current(found));
              return put(fingerprint, found, changed)
                  .thenCompose(result -> settled(result, fingerprint, change, changed, round));
            });
  }

  private CompletableFuture<Integer> settled(
      CommitResult result,
      long fingerprint,
      UnaryOperator<SuspectRow> change,
      SuspectRow changed,
      int round) {
    return switch (result) {
      case CommitResult.Conflict conflict when round < MAXIMUM_ROUNDS ->
          update(fingerprint, change, round + 1);
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

  private SuspectRow current(Optional<Row> found) {
    return found
        .map(row -> SuspectRow.decode(row.value()))
        .filter(row -> row.lastCrashMillis() + settings.quarantineMillis() > clock.millis())
        .orElse(NONE);
  }

  private static CompletableFuture<SuspectClaim> refused(FailureType type, SuspectRow row) {
    return CompletableFuture.completedFuture(new SuspectClaim.Refused(type, row.crashes()));
  }

  private static RowKey key(long fingerprint) {
    return new RowKey(TABLE, HexFormat.of().toHexDigits(fingerprint));
  }
}
