package org.hornbeamusher.claims;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.hornbeamusher.clock.Clock;
import org.hornbeamusher.events.EventLog;
import org.hornbeamusher.events.EventType;
import org.hornbeamusher.failure.FailureType;
import org.hornbeamusher.failure.HornbeamusherException;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.ids.ClaimToken;
import org.hornbeamusher.ids.IdempotencyKey;
import org.hornbeamusher.ids.ServiceName;
import org.hornbeamusher.table.CommitResult;
import org.hornbeamusher.table.Row;
import org.hornbeamusher.table.Table;
import org.hornbeamusher.table.Transaction;

/**
 * Claims non-idempotent requests in the platform's table, so that each runs at most once.
 *
 * <p>Before an entry sends the first byte of such a request, it inserts a row for (service, key) on
 * the condition that there is none. However many entries try, and at whatever time, only one insert
 * commits; only that entry dispatches the request, once. All others read the row and answer the
 * caller accordingly.
 *
 * <p>There are three results of the insert:
 *
 * <ul>
 *   <li>Committed: this entry acquired the claim.
 *   <li>Conflict: the existing row decides ({@link ClaimDecision}).
 *   <li>Response lost: the insert may have taken effect. The row is read back. It holds this
 *       claim's token or another claim's, or it is absent; in that case the same insert is sent
 *       again. Two such inserts in flight at once are harmless, because both require the row to be
 *       absent and carry the same token.
 * </ul>
 *
 * <p>When the table does not respond, the request is refused as not run: this entry has dispatched
 * nothing and will not. But the insert may still take effect later, and its row would then block
 * the caller's retry. So the claim is released in the background by writing a row in state not run:
 * where there is no row yet, this makes the late insert fail.
 */
public final class ClaimStore {

  /** Maximum commit attempts for one claim or outcome before giving up for now. */
  private static final int MAXIMUM_COMMIT_ATTEMPTS = 4;

  /**
   * Maximum outcomes queued while the table is unavailable; beyond it the oldest is dropped and its
   * claim reads as unknown.
   */
  private static final int MAXIMUM_PENDING_OUTCOMES = 10_000;

  private static final long RETRY_MILLIS = 1_000;
  private static final String KEY_HEADER = "Idempotency-Key";

  private final Table table;
  private final ClaimBatcher batcher;
  private final ClaimSettings settings;
  private final Clock clock;
  private final Supplier<ClaimToken> tokens;
  private final ArrayDeque<PendingOutcome> pendingOutcomes = new ArrayDeque<>();
  private ScheduledExecutorService executor;

  /**
   * Creates an instance without the background thread. Claims work before {@link #start}; only
   * outcomes whose write failed remain queued until then.
   *
   * @param table the platform's table
   * @param settings retention and grace period of claims
   * @param clock the clock
   * @param tokens generates a unique token for each claim
   */
  public ClaimStore(Table table, ClaimSettings settings, Clock clock, Supplier<ClaimToken> tokens) {
    this.table = table;
    this.batcher = new ClaimBatcher(table);
    this.settings = settings;
    this.clock = clock;
    this.tokens = tokens;
  }

  /** Starts the background thread that retries failed outcome writes. */
  public synchronized void start() {
    if (executor == null) {
      executor =
          Executors.newSingleThreadScheduledExecutor(
              Thread.ofPlatform().daemon().name("claim-keeper").factory());
      executor.scheduleWithFixedDelay(
          this::retryPendingWrites, RETRY_MILLIS, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Stops the background thread. Outcomes that are still queued are lost; their claims read as
   * unknown.
   */
  public synchronized void stop() {
    if (executor != null) {
      executor.shutdownNow();
      executor = null;
    }
  }

  /**
   * Claims a request.
   *
   * @param service the service
   * @param key the caller's idempotency key
   * @param fingerprint hash of the request, without the parts that may differ between retries
   * @param expiryMillis the request's deadline; nothing is dispatched after it
   * @return never fails; {@link ClaimResult.Refused} when the table does not respond
   */
  public CompletableFuture<ClaimResult> claim(
      ServiceName service, IdempotencyKey key, String fingerprint, long expiryMillis) {
    Optional<ClaimKey> parsedKey = ClaimKey.of(key);
    if (parsedKey.isEmpty()) {
      return refused(
          HornbeamusherException.notRun(
              FailureType.INVALID_HEADER, KEY_HEADER, "it must be a UUID of version 7"));
    }
    if (settings.isFromFuture(parsedKey.get(), clock.millis())) {
      return refused(
          HornbeamusherException.notRun(
              FailureType.INVALID_HEADER, KEY_HEADER, "its time lies in the future"));
    }
    if (settings.isExpired(parsedKey.get(), clock.millis())) {
      return refused(
          HornbeamusherException.of(
              FailureType.CLAIM_KEY_EXPIRED, Outcome.UNKNOWN, settings.retentionMillis()));
    }
    Claim claim = new Claim(service, parsedKey.get(), tokens.get(), fingerprint, 1, expiryMillis);
    return completeByExpiry(
        claim,
        tryClaim(claim, Optional.empty(), 1, false).exceptionally(ClaimStore::refusedAsUnknown));
  }

  /**
   * Records the outcome of a claim. Must be called once for every acquired claim, also when nothing
   * was dispatched.
   *
   * @param claim the claim
   * @param outcome the outcome; {@link Outcome.NotRun} only where this is proven
   * @param response the complete response of a request that ran; stored if it is short enough
   * @return whether the outcome is in the table; if not, the write is retried in the background
   */
  public CompletableFuture<Boolean> finish(
      Claim claim, Outcome outcome, Optional<StoredResponse> response) {
    ClaimRow.State state =
        switch (outcome) {
          case Outcome.NotRun notRun -> new ClaimRow.NotRun();
          case Outcome.Ran ran -> new ClaimRow.Ran(response.filter(ClaimStore::isStorable));
          case Outcome.Unknown unknown -> new ClaimRow.Unknown();
        };
    return write(new PendingOutcome(claim, state, false));
  }

  /** Retries every failed outcome write; called once a second. */
  public void retryPendingWrites() {
    List<PendingOutcome> outcomes;
    synchronized (this) {
      outcomes = new ArrayList<>(pendingOutcomes);
      pendingOutcomes.clear();
    }
    outcomes.forEach(this::write);
  }

  /**
   * Returns how many outcomes are queued for another write.
   *
   * @return the number of queued outcomes
   */
  public synchronized int pendingOutcomeCount() {
    return pendingOutcomes.size();
  }

  private CompletableFuture<ClaimResult> tryClaim(
      Claim claim, Optional<Row> seen, int commitAttempt, boolean mayTakeEffect) {
    return switch (decide(claim, seen)) {
      case ClaimDecision.Done done -> CompletableFuture.completedFuture(done.result());
      case ClaimDecision.Write write ->
          put(claim, write)
              .handle((result, thrown) -> CommitStep.of(result, thrown))
              .thenCompose(
                  step -> afterClaimCommit(step, claim, write, commitAttempt, mayTakeEffect));
    };
  }

  /**
   * Completes at the claim's expiry at the latest; otherwise a slow table would keep the caller
   * waiting past its deadline. A claim that is acquired after that is finished as not run: nothing
   * was dispatched, and this has already been reported to the caller.
   */
  private CompletableFuture<ClaimResult> completeByExpiry(
      Claim claim, CompletableFuture<ClaimResult> result) {
    CompletableFuture<ClaimResult> response = new CompletableFuture<>();
    result.thenAccept(
        decided -> {
          boolean late = !response.complete(decided);
          if (late && decided instanceof ClaimResult.Acquired won) {
            finish(won.claim(), Outcome.NOT_RUN, Optional.empty());
          }
        });
    ClaimResult expired =
        new ClaimResult.Refused(
            HornbeamusherException.notRun(FailureType.CLAIM_UNAVAILABLE).retryAfter(RETRY_MILLIS));
    long remaining = Math.max(0, claim.expiryMillis() - clock.millis());
    return response.completeOnTimeout(expired, remaining, TimeUnit.MILLISECONDS);
  }

  private ClaimDecision decide(Claim claim, Optional<Row> seen) {
    return ClaimDecision.claim(claim, seen, settings, clock.millis());
  }

  private CompletableFuture<ClaimResult> afterClaimCommit(
      CommitStep step,
      Claim claim,
      ClaimDecision.Write write,
      int commitAttempt,
      boolean mayTakeEffect) {
    boolean last = commitAttempt == MAXIMUM_COMMIT_ATTEMPTS;
    return switch (step) {
      case CommitStep.Committed committed ->
          CompletableFuture.completedFuture(new ClaimResult.Acquired(withAttempt(claim, write)));
      case CommitStep.Conflict conflict when !last ->
          tryClaim(claim, conflict.current(), commitAttempt + 1, mayTakeEffect);
      case CommitStep.ResponseLost responseLost when !last -> readBack(claim, commitAttempt);
      case CommitStep.Conflict conflict -> unavailable(claim, mayTakeEffect);
      case CommitStep.ResponseLost responseLost -> unavailable(claim, true);
      case CommitStep.Rejected rejected -> unavailable(claim, mayTakeEffect);
    };
  }

  private CompletableFuture<ClaimResult> readBack(Claim claim, int commitAttempt) {
    return table
        .read(claim.key().rowKey(claim.service()))
        .handle(
            (row, thrown) ->
                thrown == null
                    ? tryClaim(claim, row, commitAttempt + 1, true)
                    : unavailable(claim, true))
        .thenCompose(result -> result);
  }

  /**
   * Refuses the request as not run. An insert that may still take effect is released, because it
   * would block the caller's retry.
   */
  private CompletableFuture<ClaimResult> unavailable(Claim claim, boolean mayTakeEffect) {
    if (mayTakeEffect) {
      write(new PendingOutcome(claim, new ClaimRow.NotRun(), true));
    }
    return refused(
        HornbeamusherException.notRun(FailureType.CLAIM_UNAVAILABLE).retryAfter(RETRY_MILLIS));
  }

  private CompletableFuture<Boolean> write(PendingOutcome pending) {
    boolean acquiredByInsert = !pending.release && pending.claim.attempt() == 1;
    Optional<Row> assumed =
        acquiredByInsert ? Optional.of(firstRow(pending.claim)) : Optional.empty();
    return tryFinish(pending, assumed, 1);
  }

  /**
   * Returns the row that the insert of a first claim wrote, which saves reading it back. Valid only
   * for an acquired claim: otherwise revision 1 may have been written by another entry.
   */
  private static Row firstRow(Claim claim) {
    ClaimRow row =
        new ClaimRow(
            claim.fingerprint(),
            claim.attempt(),
            claim.token(),
            new ClaimRow.Claimed(claim.expiryMillis()));
    return new Row(claim.key().rowKey(claim.service()), 1, ClaimRows.encode(row));
  }

  private CompletableFuture<Boolean> tryFinish(
      PendingOutcome pending, Optional<Row> seen, int commitAttempt) {
    Optional<ClaimDecision.Write> write =
        pending.release
            ? ClaimDecision.release(pending.claim, seen)
            : ClaimDecision.finish(pending.claim, pending.state, seen);
    if (write.isEmpty()) {
      return CompletableFuture.completedFuture(true);
    }
    return put(pending.claim, write.get())
        .handle((result, thrown) -> CommitStep.of(result, thrown))
        .thenCompose(step -> afterFinishCommit(step, pending, seen, commitAttempt));
  }

  private CompletableFuture<Boolean> afterFinishCommit(
      CommitStep step, PendingOutcome pending, Optional<Row> seen, int commitAttempt) {
    boolean last = commitAttempt == MAXIMUM_COMMIT_ATTEMPTS;
    return switch (step) {
      case CommitStep.Committed committed -> CompletableFuture.completedFuture(true);
      case CommitStep.Conflict conflict when !last ->
          tryFinish(pending, conflict.current(), commitAttempt + 1);
      case CommitStep.ResponseLost responseLost when !last ->
          tryFinish(pending, seen, commitAttempt + 1);
      case CommitStep.Conflict conflict -> enqueue(pending);
      case CommitStep.ResponseLost responseLost -> enqueue(pending);
      case CommitStep.Rejected rejected -> enqueue(pending);
    };
  }

  private synchronized CompletableFuture<Boolean> enqueue(PendingOutcome pending) {
    if (pendingOutcomes.size() == MAXIMUM_PENDING_OUTCOMES) {
      PendingOutcome dropped = pendingOutcomes.poll();
      EventLog.log(EventType.CLAIM_END_LOST, "service", dropped.claim.service());
    }
    pendingOutcomes.add(pending);
    return CompletableFuture.completedFuture(false);
  }

  private CompletableFuture<CommitResult> put(Claim claim, ClaimDecision.Write write) {
    byte[] value = ClaimRows.encode(write.row());
    Transaction.Write put = new Transaction.Write.Put(claim.key().rowKey(claim.service()), value);
    return batcher.commit(write.condition(), put);
  }

  private static Claim withAttempt(Claim claim, ClaimDecision.Write write) {
    return new Claim(
        claim.service(),
        claim.key(),
        claim.token(),
        claim.fingerprint(),
        write.row().attempt(),
        claim.expiryMillis());
  }

  private static ClaimResult refusedAsUnknown(Throwable thrown) {
    return new ClaimResult.Refused(
        HornbeamusherException.of(FailureType.CLAIM_UNAVAILABLE, Outcome.UNKNOWN)
            .causedBy(HornbeamusherException.from(thrown)));
  }

  private static boolean isStorable(StoredResponse response) {
    return response.body().length <= StoredResponse.MAXIMUM_LENGTH;
  }

  private static CompletableFuture<ClaimResult> refused(HornbeamusherException reason) {
    return CompletableFuture.completedFuture(new ClaimResult.Refused(reason));
  }

  /**
   * An outcome to be written.
   *
   * @param claim the claim
   * @param state the state to record
   * @param release whether the claim was not acquired and its row may be absent, or not written yet
   */
  private record PendingOutcome(Claim claim, ClaimRow.State state, boolean release) {}

  /** The result of one commit. */
  private sealed interface CommitStep {

    record Committed() implements CommitStep {}

    record Conflict(Optional<Row> current) implements CommitStep {}

    /** The response was lost; the write may have taken effect. */
    record ResponseLost() implements CommitStep {}

    /**
     * The table rejected the write, so it had no effect. Every other failure may hide a write that
     * took effect.
     */
    record Rejected() implements CommitStep {}

    static CommitStep of(CommitResult result, Throwable thrown) {
      return switch (result) {
        case CommitResult.Committed committed -> new Committed();
        case CommitResult.Conflict conflict -> new Conflict(conflict.current());
        case null ->
            switch (HornbeamusherException.from(thrown).type()) {
              case PLATFORM_UNAVAILABLE, PLATFORM_THROTTLED -> new Rejected();
              default -> new ResponseLost();
            };
      };
    }
  }
}
