package org.hornbeamusher.claims;

import java.util.Optional;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.Transaction.Condition;

/**
 * Decides from the last known row what a claim, its outcome or its release has to write, if
 * anything.
 */
sealed interface ClaimDecision {

  /** Nothing has to be written; the result is known. */
  record Done(ClaimResult result) implements ClaimDecision {}

  /** The row has to be replaced by this one, if the condition still holds. */
  record Write(Condition condition, ClaimRow row) implements ClaimDecision {}

  /**
   * Decides on a claim.
   *
   * @param claim the requested claim
   * @param seen the last known row, or empty when none is known
   * @param settings retention and grace period of claims
   * @param now current time in milliseconds
   */
  static ClaimDecision claim(Claim claim, Optional<Row> seen, ClaimSettings settings, long now) {
    if (seen.isEmpty()) {
      Condition absent = new Condition.Absent(claim.key().rowKey(claim.service()));
      return new Write(absent, claimedRow(claim, 1));
    }
    ClaimRow row = ClaimRows.decode(seen.get());
    if (!row.fingerprint().equals(claim.fingerprint())) {
      return new Done(
          new ClaimResult.Refused(HornbeamusherException.notRun(FailureType.CLAIM_KEY_MISMATCH)));
    }
    return switch (row.state()) {
      case ClaimRow.Claimed own when row.token().equals(claim.token()) ->
          new Done(new ClaimResult.Acquired(withAttempt(claim, row.attempt())));
      case ClaimRow.Claimed other -> new Done(claimedByOther(other, settings, now));
      case ClaimRow.NotRun notRun ->
          new Write(atRevision(seen.get()), claimedRow(claim, row.attempt() + 1));
      case ClaimRow.Ran ran -> new Done(new ClaimResult.Ran(ran.response()));
      case ClaimRow.Unknown unknown -> new Done(new ClaimResult.Unknown());
    };
  }

  /**
   * Decides how to record the outcome of a claim.
   *
   * @param claim the claim
   * @param state the state to record
   * @param seen the last known row, or empty when none is known
   * @return what to write, or empty when there is nothing left to write
   */
  static Optional<Write> finish(Claim claim, ClaimRow.State state, Optional<Row> seen) {
    if (seen.isEmpty()) {
      return Optional.of(
          new Write(
              new Condition.Absent(claim.key().rowKey(claim.service())),
              claimedRow(claim, claim.attempt()).withState(state)));
    }
    ClaimRow row = ClaimRows.decode(seen.get());
    boolean open = row.token().equals(claim.token()) && row.state() instanceof ClaimRow.Claimed;
    return open
        ? Optional.of(new Write(atRevision(seen.get()), row.withState(state)))
        : Optional.empty();
  }

  /**
   * Decides how to make sure that a claim which was not acquired never takes effect, so that the
   * caller may retry. A write still in flight is conditional on an absent row or on a revision;
   * writing the row first makes that condition fail.
   *
   * @param claim the claim
   * @param seen the last known row, or empty when none is known
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

  private static Claim withAttempt(Claim claim, int attempt) {
    return new Claim(
        claim.service(),
        claim.key(),
        claim.token(),
        claim.fingerprint(),
        attempt,
        claim.expiryMillis());
  }

  private static ClaimResult claimedByOther(
      ClaimRow.Claimed claimed, ClaimSettings settings, long now) {
    long remaining = claimed.expiryMillis() + settings.graceMillis() - now;
    return remaining > 0 ? new ClaimResult.InProgress(remaining) : new ClaimResult.Unknown();
  }

  private static ClaimRow claimedRow(Claim claim, int attempt) {
    ClaimRow.State state = new ClaimRow.Claimed(claim.expiryMillis());
    return new ClaimRow(claim.fingerprint(), attempt, claim.token(), state);
  }

  private static Condition atRevision(Row row) {
    return new Condition.AtRevision(row.key(), row.revision());
  }
}
