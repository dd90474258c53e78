package org.hornbeamusher.bench.faults;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.hornbeamusher.claims.Claim;
import org.hornbeamusher.claims.ClaimKey;
import org.hornbeamusher.claims.ClaimResult;
import org.hornbeamusher.claims.ClaimSettings;
import org.hornbeamusher.claims.ClaimStore;
import org.hornbeamusher.failure.Outcome;
import org.hornbeamusher.ids.ClaimToken;
import org.hornbeamusher.ids.IdempotencyKey;
import org.hornbeamusher.ids.ServiceName;

/**
 * Callers send booking requests with idempotency keys through several entries and send them again
 * when the outcome is unknown; one agent runs the requests that reach it. Faults are injected into
 * the table, the entries, the agent and the messages between them.
 */
final class ClaimHistory {

  private static final ServiceName SERVICE = new ServiceName("haul-api");
  private static final int ENTRIES = 3;
  private static final int BOOKINGS = 3;
  private static final int MAX_SENDS = 6;
  private static final long FAULTS_END_MILLIS = 60_000;
  private static final long HISTORY_END_MILLIS = 110_000;
  private static final long DEADLINE_MILLIS = 8_000;

  private final Timeline timeline;
  private final FaultInjector injector;
  private final InjectedDefect defect;
  private final TableRows rows;
  private final List<Entry> entries = new ArrayList<>();
  private final List<Booking> bookings = new ArrayList<>();
  private final BookingAgent agent;

  ClaimHistory(Timeline timeline, FaultInjector injector, InjectedDefect defect) {
    this.timeline = timeline;
    this.injector = injector;
    this.defect = defect;
    this.rows = new TableRows(defect);
    this.agent = new BookingAgent(timeline, injector);
  }

  void run() {
    FaultyTable.drawOutages(rows, timeline, injector);
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(new Entry(i));
    }
    for (int i = 0; i < BOOKINGS; i++) {
      Booking booking = new Booking(ClaimKey.make(timeline.now() - i, i, i));
      bookings.add(booking);
      timeline.after(injector.between(0, 20_000), () -> send(booking));
    }
    timeline.every(1_000, this::injectProcessFaults);
    timeline.runUntil(FAULTS_END_MILLIS);
    injector.stopFaults();
    rows.setDown(false);
    timeline.runUntil(HISTORY_END_MILLIS);
    bookings.forEach(this::checkInvariants);
  }

  private void injectProcessFaults() {
    for (Entry entry : entries) {
      if (injector.occurs(Fault.PROCESS_PAUSED, 0.01)) {
        entry.process.pause(injector.between(500, 25_000));
      }
      if (injector.occurs(Fault.PROCESS_DIED, 0.002)) {
        entry.process.die();
      }
    }
    if (injector.occurs(Fault.PROCESS_DIED, 0.002)) {
      agent.restart();
    }
  }

  private void send(Booking booking) {
    List<Entry> alive = entries.stream().filter(entry -> entry.process.alive()).toList();
    if (alive.isEmpty() || booking.sends.size() == MAX_SENDS) {
      return;
    }
    Entry entry = injector.pick(alive);
    Send send = new Send(booking, entry);
    booking.sends.add(send);
    timeline.after(injector.between(1, 20), () -> entry.process.run(() -> entry.receive(send)));
    if (injector.occurs(Fault.CALLER_RESENT, 0.1)) {
      timeline.after(injector.between(0, 3_000), () -> send(booking));
    }
  }

  private void checkInvariants(Booking booking) {
    List<ClaimToken> ran =
        booking.sends.stream()
            .filter(send -> send.token != null)
            .flatMap(send -> Collections.nCopies(runs(send), send.token).stream())
            .toList();
    injector.check(Invariant.RUN_TWICE, ran.size() <= 1, "key ran for tokens " + ran);
    for (Send send : booking.sends) {
      boolean reportedNotRun = send.reportedOutcomes.contains(Outcome.NOT_RUN);
      injector.check(
          Invariant.NOT_RUN_BUT_RAN,
          !reportedNotRun || runs(send) == 0,
          "token " + send.token + " ran, but not-run was reported");
      injector.check(
          Invariant.ANSWERS_NOT_ONE,
          send.reportedOutcomes.size() == 1
              || (send.reportedOutcomes.isEmpty() && !send.entry.process.alive()),
          "outcomes reported to one send: " + send.reportedOutcomes);
    }
    boolean allNotRun =
        booking.sends.stream()
            .filter(send -> !send.duplicate)
            .allMatch(
                send ->
                    send.reportedOutcomes.equals(List.of(Outcome.NOT_RUN))
                        && send.entry.process.alive());
    if (allNotRun && !booking.sends.isEmpty()) {
      ClaimResult[] result = new ClaimResult[1];
      Entry fresh = new Entry(ENTRIES);
      fresh
          .keeper
          .claim(SERVICE, booking.key, "print", timeline.now() + DEADLINE_MILLIS)
          .thenAccept(found -> result[0] = found);
      timeline.runUntil(timeline.now() - Timeline.START_MILLIS + 1_000);
      injector.check(
          Invariant.RESEND_BARRED,
          result[0] instanceof ClaimResult.Acquired,
          "next send: " + result[0]);
    }
  }

  private int runs(Send send) {
    return send.token == null ? 0 : agent.runs(send.token);
  }

  private static final class Booking {

    private final IdempotencyKey key;
    private final List<Send> sends = new ArrayList<>();

    Booking(IdempotencyKey key) {
      this.key = key;
    }
  }

  private static final class Send {

    private final Booking booking;
    private final Entry entry;
    private final List<Outcome> reportedOutcomes = new ArrayList<>();

    /** Null until the claim was acquired. */
    private ClaimToken token;

    /**
     * True if another send of the key is running or has ended; the outcome reported to this send is
     * then that of the other one or unknown.
     */
    private boolean duplicate;

    private boolean ended;

    Send(Booking booking, Entry entry) {
      this.booking = booking;
      this.entry = entry;
    }
  }

  private final class Entry {

    private final SimulatedProcess process = new SimulatedProcess(timeline);
    private final ClaimStore keeper;
    private int drawn;

    Entry(int number) {
      FaultyTable table = new FaultyTable(rows, timeline, injector, process);
      keeper =
          new ClaimStore(
              table,
              ClaimSettings.DEFAULT,
              timeline.clock(),
              () -> new ClaimToken(number + "-" + ++drawn));
      if (defect != InjectedDefect.ENDS_FORGOTTEN) {
        timeline.every(1_000, () -> process.run(keeper::retryPendingWrites));
      }
    }

    void receive(Send send) {
      keeper
          .claim(SERVICE, send.booking.key, "print", timeline.now() + DEADLINE_MILLIS)
          .thenAccept(result -> process.run(() -> claimed(send, result)));
    }

    private void claimed(Send send, ClaimResult result) {
      switch (result) {
        case ClaimResult.Acquired won -> {
          send.token = won.claim().token();
          if (injector.occurs(Fault.PROCESS_PAUSED, 0.05)) {
            process.pause(injector.between(500, 20_000));
          }
          process.run(() -> dispatch(send, won.claim()));
        }
        case ClaimResult.Ran ran -> reportDuplicate(send, Outcome.RAN);
        case ClaimResult.InProgress progress -> reportDuplicate(send, Outcome.UNKNOWN);
        case ClaimResult.Unknown unknown -> reportDuplicate(send, Outcome.UNKNOWN);
        case ClaimResult.Refused refused -> reportOutcome(send, refused.reason().outcome());
      }
    }

    private void dispatch(Send send, Claim claim) {
      if (!claim.mayDispatch(timeline.now())) {
        end(send, claim, Outcome.NOT_RUN);
        return;
      }
      agent.dispatch(claim, outcome -> process.run(() -> end(send, claim, outcome)));
      Outcome outcomeAtTimeout =
          defect == InjectedDefect.NOT_RUN_GUESSED ? Outcome.NOT_RUN : Outcome.UNKNOWN;
      timeline.after(
          DEADLINE_MILLIS + 2_000, () -> process.run(() -> end(send, claim, outcomeAtTimeout)));
    }

    private void end(Send send, Claim claim, Outcome outcome) {
      if (!send.ended) {
        send.ended = true;
        keeper
            .finish(claim, outcome, Optional.empty())
            .thenAccept(done -> reportOutcome(send, outcome));
      }
    }

    private void reportDuplicate(Send send, Outcome outcome) {
      send.duplicate = true;
      reportOutcome(send, outcome);
    }

    private void reportOutcome(Send send, Outcome outcome) {
      send.reportedOutcomes.add(outcome);
      if (!outcome.equals(Outcome.RAN) && injector.chance(0.6)) {
        timeline.after(injector.between(0, 8_000), () -> send(send.booking));
      }
    }
  }

  /** Runs each request that arrives before its expiry; duplicate messages are ignored. */
  private static final class BookingAgent {

    private final Timeline timeline;
    private final FaultInjector injector;
    private final Map<ClaimToken, Integer> runs = new HashMap<>();
    private final Map<ClaimToken, Integer> seen = new HashMap<>();
    private int incarnation;

    BookingAgent(Timeline timeline, FaultInjector injector) {
      this.timeline = timeline;
      this.injector = injector;
    }

    int runs(ClaimToken token) {
      return runs.getOrDefault(token, 0);
    }

    void restart() {
      incarnation++;
      seen.clear();
    }

    void dispatch(Claim claim, Consumer<Outcome> response) {
      int connection = incarnation;
      transfer(() -> arrive(claim, connection, response));
    }

    private void arrive(Claim claim, int connection, Consumer<Outcome> response) {
      boolean repeated = seen.merge(claim.token(), 1, Integer::sum) > 1;
      if (connection != incarnation || repeated) {
        return;
      }
      timeline.after(injector.between(0, 4_000), () -> start(claim, connection, response));
    }

    private void start(Claim claim, int connection, Consumer<Outcome> response) {
      if (connection != incarnation) {
        return;
      }
      if (timeline.now() >= claim.expiryMillis()) {
        transfer(() -> response.accept(Outcome.NOT_RUN));
        return;
      }
      runs.merge(claim.token(), 1, Integer::sum);
      timeline.after(injector.between(10, 4_000), () -> finish(connection, response));
    }

    private void finish(int connection, Consumer<Outcome> response) {
      if (connection == incarnation) {
        transfer(() -> response.accept(Outcome.RAN));
      }
    }

    private void transfer(Runnable message) {
      if (injector.occurs(Fault.FRAME_LOST, 0.05)) {
        return;
      }
      boolean delayed = injector.occurs(Fault.FRAME_DELAYED, 0.05);
      timeline.after(delayed ? injector.between(500, 15_000) : injector.between(1, 20), message);
      if (injector.occurs(Fault.FRAME_DUPLICATED, 0.05)) {
        timeline.after(injector.between(1, 5_000), message);
      }
    }
  }
}
