package org.hornbeamusher.claims;

import java.util.Optional;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.Transaction.Condition;

/** Decides what a claim or its end leads to, from the row as it was last seen. */
sealed interface ClaimDecision {

  /** Nothing is to be written. */
  record Done(ClaimResult result) implements ClaimDecision {}

  /** The row becomes this one if the condition still holds. */
  record Write(Condition condition, ClaimRow row) implements ClaimDecision {}

  /**
   * Decides on a claim.
   *
   * @param claim what the entry wants
   * @param seen the row, as far as it is known
   * @param settings how long claims matter
   * @param now milliseconds
   */
  static ClaimDecision claim(Claim claim, Optional<Row> seen, ClaimSettings settings, long now) {
    if (seen.isEmpty()) {
      Condition absent = new Condition.Absent(claim.key().row(claim.service()));
      return new Write(absent, claimed(claim, 1));
    }
    ClaimRow row = ClaimRows.decode(seen.get());
    if (!row.fingerprint().equals(claim.fingerprint())) {
      return new Done(
          new ClaimResult.Refused(HornbeamusherException.notRun(FailureType.CLAIM_KEY_MISMATCH)));
    }
    return switch (row.state()) {
      case ClaimRow.Claimed own when row.token().equals(claim.token()) ->
          new Done(new ClaimResult.Acquired(won(claim, row.attempt())));
      case ClaimRow.Claimed other -> new Done(held(other, settings, now));
      case ClaimRow.NotRun notRun ->
          new Write(atRevision(seen.get()), claimed(claim, row.attempt() + 1));
      case ClaimRow.Ran ran -> new Done(new ClaimResult.Ran(ran.answer()));
      case ClaimRow.Unknown unknown -> new Done(new ClaimResult.Unknown());
    };
  }

  /**
   * Decides on the end of a claim.
   *
   * @param claim the claim
   * @param end its final state
   * @param seen the row, as far as it is known
   * @return what to write, or empty when there is nothing left to write
   */
  static Optional<Write> finish(Claim claim, ClaimRow.State end, Optional<Row> seen) {
    if (seen.isEmpty()) {
      return Optional.of(
          new Write(
              new Condition.Absent(claim.key().row(claim.service())),
              claimed(claim, claim.attempt()).with(end)));
    }
    ClaimRow row = ClaimRows.decode(seen.get());
    boolean open = row.token().equals(claim.token()) && row.state() instanceof ClaimRow.Claimed;
    return open ? Optional.of(new Write(atRevision(seen.get()), row.with(end))) : Optional.empty();
  }

  /**
   * Decides how to make sure that a claim which was not won never takes effect, so that the caller
   * may send again. A write that is still on its way carries the condition of an absent row or of a
   * revision; writing the row first makes that condition fail.
   *
   * @param claim the claim
   * @param seen the row, as far as it is known
   * @return what to write, or empty when the claim cannot take effect any more
   */
  static Optional<Write> release(Claim claim, Optional<Row> seen) {
    if (seen.isEmpty()) {
      return finish(claim, new ClaimRow.NotRun(), seen);
    }
    ClaimRow row = ClaimRows.decode(seen.get());
    boolean own = row.token().equals(claim.token());
    boolean reopenable = row.state() instanceof ClaimRow.NotRun && !own;
    if (reopenable) {
      ClaimRow released =
          new ClaimRow(row.fingerprint(), row.attempt(), claim.token(), row.state());
      return Optional.of(new Write(atRevision(seen.get()), released));
    }
    return finish(claim, new ClaimRow.NotRun(), seen);
  }

  private static Claim won(Claim claim, int attempt) {
    return new Claim(
        claim.service(),
        claim.key(),
        claim.token(),
        claim.fingerprint(),
        attempt,
        claim.expiryMillis());
  }

  private static ClaimResult held(ClaimRow.Claimed claimed, ClaimSettings settings, long now) {
    long remaining = claimed.expiryMillis() + settings.graceMillis() - now;
    return remaining > 0 ? new ClaimResult.InProgress(remaining) : new ClaimResult.Unknown();
  }

  private static ClaimRow claimed(Claim claim, int attempt) {
    ClaimRow.State state = new ClaimRow.Claimed(claim.expiryMillis());
    return new ClaimRow(claim.fingerprint(), attempt, claim.token(), state);
  }

  private static Condition atRevision(Row row) {
    return new Condition.AtRevision(row.key(), row.revision());
  }
}
