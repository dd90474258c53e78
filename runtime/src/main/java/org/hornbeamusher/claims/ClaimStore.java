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
 * Claims non-repeatable requests in the platform's table, so that each runs at most once.
 *
 * <p>Before the first byte of such a request leaves an entry, the entry inserts a row for (service,
 * key) on the condition that there is none. Of all entries that try, whenever they try, one
 * commits; it alone dispatches, once. Everybody else reads the row and tells the caller what it
 * says.
 *
 * <p>Three answers of the table decide:
 *
 * <ul>
 *   <li>Committed: this entry won.
 *   <li>Conflict: the row that is there decides ({@link ClaimDecision}).
 *   <li>Answer lost: the insert may have taken effect. The row is read back; it shows the own
 *       token, somebody else's, or nothing, and in that case the same insert is sent again. Two
 *       inserts on their way at once are harmless, because both want the row absent and carry one
 *       token.
 * </ul>
 *
 * <p>When the table does not answer, the request is refused as not run: nothing was dispatched and,
 * from here, nothing will be. But the insert may still take effect later, and the row would then
 * bar the caller's next send. So the claim is released in the background, by a row that says not
 * run: where there is no row yet, writing it makes the late insert fail.
 */
public final class ClaimStore {

  /** Rounds of one claim or one end before it is given up for now. */
  private static final int MAXIMUM_ROUNDS = 4;

  /** Ends that wait for the table; beyond it the oldest is dropped and reads as unknown. */
  private static final int MAXIMUM_UNWRITTEN = 10_000;

  private static final long RETRY_MILLIS = 1_000;
  private static final String KEY_HEADER = "Idempotency-Key";

  private final Table table;
  private final ClaimBatcher batcher;
  private final ClaimSettings settings;
  private final Clock clock;
  private final Supplier<ClaimToken> tokens;
  private final ArrayDeque<Unwritten> unwritten = new ArrayDeque<>();
  private ScheduledExecutorService executor;

  /**
   * Creates a stopped service; claims work all the same, only ends that could not be written wait.
   *
   * @param table the platform's table
   * @param settings how long claims matter
   * @param clock the time
   * @param tokens makes a token that no other claim has
   */
  public ClaimStore(Table table, ClaimSettings settings, Clock clock, Supplier<ClaimToken> tokens) {
    this.table = table;
    this.batcher = new ClaimBatcher(table);
    this.settings = settings;
    this.clock = clock;
    this.tokens = tokens;
  }

  /** Starts writing ends again that could not be written. */
  public synchronized void start() {
    if (executor == null) {
      executor =
          Executors.newSingleThreadScheduledExecutor(
              Thread.ofPlatform().daemon().name("claim-keeper").factory());
      executor.scheduleWithFixedDelay(
          this::retryPendingWrites, RETRY_MILLIS, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Stops. Ends that could not be written are lost; their claims read as unknown. */
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
   * @param key the caller's key
   * @param fingerprint hash of what the caller asks for, without what may differ between sends
   * @param expiryMillis the request's deadline: nothing is dispatched after it
   * @return never fails; a table that does not answer is {@link ClaimResult.Refused}
   */
  public CompletableFuture<ClaimResult> claim(
      ServiceName service, IdempotencyKey key, String fingerprint, long expiryMillis) {
    Optional<ClaimKey> timed = ClaimKey.of(key);
    if (timed.isEmpty()) {
      return refused(
          HornbeamusherException.notRun(
              FailureType.INVALID_HEADER, KEY_HEADER, "it must be a UUID of version 7"));
    }
    if (settings.fromTheFuture(timed.get(), clock.millis())) {
      return refused(
          HornbeamusherException.notRun(
              FailureType.INVALID_HEADER, KEY_HEADER, "its time lies in the future"));
    }
    if (settings.expired(timed.get(), clock.millis())) {
      return refused(
          HornbeamusherException.of(
              FailureType.CLAIM_KEY_EXPIRED, Outcome.UNKNOWN, settings.retentionMillis()));
    }
    Claim claim = new Claim(service, timed.get(), tokens.get(), fingerprint, 1, expiryMillis);
    return untilExpiry(
        claim, round(claim, Optional.empty(), 1, false).exceptionally(ClaimStore::unreadable));
  }

  /**
   * Ends a claim. Called once for every claim won, also when nothing was dispatched.
   *
   * @param claim the claim
   * @param outcome {@link Outcome.NotRun} only where it is proven
   * @param answer the whole answer of a request that ran; kept if it is short
   * @return whether the end is in the table; when it is not, it is tried again in the background
   */
  public CompletableFuture<Boolean> finish(
      Claim claim, Outcome outcome, Optional<StoredResponse> answer) {
    ClaimRow.State end =
        switch (outcome) {
          case Outcome.NotRun notRun -> new ClaimRow.NotRun();
          case Outcome.Ran ran -> new ClaimRow.Ran(answer.filter(ClaimStore::isShort));
          case Outcome.Unknown unknown -> new ClaimRow.Unknown();
        };
    return write(new Unwritten(claim, end, false));
  }

  /** Tries again every end that could not be written; called once a second. */
  public void retryPendingWrites() {
    List<Unwritten> ends;
    synchronized (this) {
      ends = new ArrayList<>(unwritten);
      unwritten.clear();
    }
    ends.forEach(this::write);
  }

  /**
   * Returns how many ends wait for the table.
   *
   * @return for metrics
   */
  public synchronized int unwritten() {
    return unwritten.size();
  }

  private CompletableFuture<ClaimResult> round(
      Claim claim, Optional<Row> seen, int number, boolean lost) {
    return switch (decide(claim, seen)) {
      case ClaimDecision.Done done -> CompletableFuture.completedFuture(done.result());
      case ClaimDecision.Write write ->
          put(claim, write)
              .handle((result, thrown) -> Step.of(result, thrown))
              .thenCompose(step -> afterCommit(step, claim, write, number, lost));
    };
  }

  /**
   * Answers by the expiry at the latest. A slow table would otherwise keep the caller waiting past
   * its deadline. A claim that is won after that is ended as not run: nothing was dispatched, and
   * the caller has been told so.
   */
  private CompletableFuture<ClaimResult> untilExpiry(
      Claim claim, CompletableFuture<ClaimResult> result) {
    CompletableFuture<ClaimResult> answer = new CompletableFuture<>();
    result.thenAccept(
        decided -> {
          boolean late = !answer.complete(decided);
          if (late && decided instanceof ClaimResult.Acquired won) {
            finish(won.claim(), Outcome.NOT_RUN, Optional.empty());
          }
        });
    ClaimResult tooLate =
        new ClaimResult.Refused(
            HornbeamusherException.notRun(FailureType.CLAIM_UNAVAILABLE).retryAfter(RETRY_MILLIS));
    long remaining = Math.max(0, claim.expiryMillis() - clock.millis());
    return answer.completeOnTimeout(tooLate, remaining, TimeUnit.MILLISECONDS);
  }

  private ClaimDecision decide(Claim claim, Optional<Row> seen) {
    return ClaimDecision.claim(claim, seen, settings, clock.millis());
  }

  private CompletableFuture<ClaimResult> afterCommit(
      Step step, Claim claim, ClaimDecision.Write write, int number, boolean lost) {
    boolean last = number == MAXIMUM_ROUNDS;
    return switch (step) {
      case Step.Committed committed ->
          CompletableFuture.completedFuture(new ClaimResult.Acquired(attempt(claim, write)));
      case Step.Conflict conflict when !last -> round(claim, conflict.current(), number + 1, lost);
      case Step.Lost again when !last -> readBack(claim, number);
      case Step.Conflict conflict -> unavailable(claim, lost);
      case Step.Lost again -> unavailable(claim, true);
      case Step.Failed failed -> unavailable(claim, lost);
    };
  }

  private CompletableFuture<ClaimResult> readBack(Claim claim, int number) {
    return table
        .read(claim.key().row(claim.service()))
        .handle(
            (row, thrown) ->
                thrown == null ? round(claim, row, number + 1, true) : unavailable(claim, true))
        .thenCompose(result -> result);
  }

  /** The request is refused; an insert that may still take effect must not bar the next send. */
  private CompletableFuture<ClaimResult> unavailable(Claim claim, boolean lost) {
    if (lost) {
      write(new Unwritten(claim, new ClaimRow.NotRun(), true));
    }
    return refused(
        HornbeamusherException.notRun(FailureType.CLAIM_UNAVAILABLE).retryAfter(RETRY_MILLIS));
  }

  private CompletableFuture<Boolean> write(Unwritten end) {
    boolean inserted = !end.release && end.claim.attempt() == 1;
    Optional<Row> assumed = inserted ? Optional.of(firstRow(end.claim)) : Optional.empty();
    return finishRound(end, assumed, 1);
  }

  /**
   * What the insert of a first claim left behind; saves reading the row back. Only for a claim that
   * was won: revision 1 of a claim that was not may be another entry's.
   */
  private static Row firstRow(Claim claim) {
    ClaimRow row =
        new ClaimRow(
            claim.fingerprint(),
            claim.attempt(),
            claim.token(),
            new ClaimRow.Claimed(claim.expiryMillis()));
    return new Row(claim.key().row(claim.service()), 1, ClaimRows.encode(row));
  }

  private CompletableFuture<Boolean> finishRound(Unwritten end, Optional<Row> seen, int number) {
    Optional<ClaimDecision.Write> write =
        end.release
            ? ClaimDecision.release(end.claim, seen)
            : ClaimDecision.finish(end.claim, end.state, seen);
    if (write.isEmpty()) {
      return CompletableFuture.completedFuture(true);
    }
    return put(end.claim, write.get())
        .handle((result, thrown) -> Step.of(result, thrown))
        .thenCompose(step -> afterFinish(step, end, seen, number));
  }

  private CompletableFuture<Boolean> afterFinish(
      Step step, Unwritten end, Optional<Row> seen, int number) {
    boolean last = number == MAXIMUM_ROUNDS;
    return switch (step) {
      case Step.Committed committed -> CompletableFuture.completedFuture(true);
      case Step.Conflict conflict when !last -> finishRound(end, conflict.current(), number + 1);
      case Step.Lost again when !last -> finishRound(end, seen, number + 1);
      case Step.Conflict conflict -> later(end);
      case Step.Lost again -> later(end);
      case Step.Failed failed -> later(end);
    };
  }

  private synchronized CompletableFuture<Boolean> later(Unwritten end) {
    if (unwritten.size() == MAXIMUM_UNWRITTEN) {
      Unwritten dropped = unwritten.poll();
      EventLog.log(EventType.CLAIM_END_LOST, "service", dropped.claim.service());
    }
    unwritten.add(end);
    return CompletableFuture.completedFuture(false);
  }

  private CompletableFuture<CommitResult> put(Claim claim, ClaimDecision.Write write) {
    byte[] value = ClaimRows.encode(write.row());
    Transaction.Write put = new Transaction.Write.Put(claim.key().row(claim.service()), value);
    return batcher.commit(write.condition(), put);
  }

  private static Claim attempt(Claim claim, ClaimDecision.Write write) {
    return new Claim(
        claim.service(),
        claim.key(),
        claim.token(),
        claim.fingerprint(),
        write.row().attempt(),
        claim.expiryMillis());
  }

  private static ClaimResult unreadable(Throwable thrown) {
    return new ClaimResult.Refused(
        HornbeamusherException.of(FailureType.CLAIM_UNAVAILABLE, Outcome.UNKNOWN)
            .causedBy(HornbeamusherException.from(thrown)));
  }

  private static boolean isShort(StoredResponse answer) {
    return answer.body().length <= StoredResponse.MAXIMUM_LENGTH;
  }

  private static CompletableFuture<ClaimResult> refused(HornbeamusherException reason) {
    return CompletableFuture.completedFuture(new ClaimResult.Refused(reason));
  }

  /** An end; a release is the end of a claim that may not be in the table, or not yet. */
  private record Unwritten(Claim claim, ClaimRow.State state, boolean release) {}

  /** How one commit ended. */
  private sealed interface Step {

    record Committed() implements Step {}

    record Conflict(Optional<Row> current) implements Step {}

    /** The write may have taken effect. */
    record Lost() implements Step {}

    /** The table did not take the write. Every other failure may hide one that took effect. */
    record Failed() implements Step {}

    static Step of(CommitResult result, Throwable thrown) {
      return switch (result) {
        case CommitResult.Committed committed -> new Committed();
        case CommitResult.Conflict conflict -> new Conflict(conflict.current());
        case null ->
            switch (HornbeamusherException.from(thrown).type()) {
              case PLATFORM_UNAVAILABLE, PLATFORM_THROTTLED -> new Failed();
              default -> new Lost();
            };
      };
    }
  }
}
