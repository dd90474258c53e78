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
 * Callers book through several entries, send again when they are not sure, and one agent runs what
 * reaches it. The table, the entries, the agent and the messages between them fail.
 */
final class ClaimHistory {

  private static final ServiceName SERVICE = new ServiceName("haul-api");
  private static final int ENTRIES = 3;
  private static final int BOOKINGS = 3;
  private static final int MOST_SENDS = 6;
  private static final long FAULTS_END = 60_000;
  private static final long QUIET_END = 110_000;
  private static final long DEADLINE_MILLIS = 8_000;

  private final Timeline timeline;
  private final Chaos chaos;
  private final Breakage breakage;
  private final TableRows rows;
  private final List<Entry> entries = new ArrayList<>();
  private final List<Booking> bookings = new ArrayList<>();
  private final BookingAgent agent;

  ClaimHistory(Timeline timeline, Chaos chaos, Breakage breakage) {
    this.timeline = timeline;
    this.chaos = chaos;
    this.breakage = breakage;
    this.rows = new TableRows(breakage);
    this.agent = new BookingAgent(timeline, chaos);
  }

  void run() {
    FaultyTable.drawOutages(rows, timeline, chaos);
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(new Entry(i));
    }
    for (int i = 0; i < BOOKINGS; i++) {
      Booking booking = new Booking(ClaimKey.make(timeline.now() - i, i, i));
      bookings.add(booking);
      timeline.after(chaos.between(0, 20_000), () -> send(booking));
    }
    timeline.every(1_000, this::strikeProcesses);
    timeline.runUntil(FAULTS_END);
    chaos.quieten();
    rows.down(false);
    timeline.runUntil(QUIET_END);
    bookings.forEach(this::judge);
  }

  private void strikeProcesses() {
    for (Entry entry : entries) {
      if (chaos.strikes(Fault.PROCESS_PAUSED, 0.01)) {
        entry.process.pause(chaos.between(500, 25_000));
      }
      if (chaos.strikes(Fault.PROCESS_DIED, 0.002)) {
        entry.process.die();
      }
    }
    if (chaos.strikes(Fault.PROCESS_DIED, 0.002)) {
      agent.restart();
    }
  }

  private void send(Booking booking) {
    List<Entry> alive = entries.stream().filter(entry -> entry.process.alive()).toList();
    if (alive.isEmpty() || booking.sends.size() == MOST_SENDS) {
      return;
    }
    Entry entry = chaos.one(alive);
    Send send = new Send(booking, entry);
    booking.sends.add(send);
    timeline.after(chaos.between(1, 20), () -> entry.process.run(() -> entry.receive(send)));
    if (chaos.strikes(Fault.CALLER_RESENT, 0.1)) {
      timeline.after(chaos.between(0, 3_000), () -> send(booking));
    }
  }

  private void judge(Booking booking) {
    List<ClaimToken> ran =
        booking.sends.stream()
            .filter(send -> send.token != null)
            .flatMap(send -> Collections.nCopies(runs(send), send.token).stream())
            .toList();
    chaos.check(Check.RUN_TWICE, ran.size() <= 1, "key ran for " + ran);
    for (Send send : booking.sends) {
      boolean toldNotRun = send.told.contains(Outcome.NOT_RUN);
      chaos.check(
          Check.NOT_RUN_BUT_RAN, !toldNotRun || runs(send) == 0, "token " + send.token + " ran");
      chaos.check(
          Check.ANSWERS_NOT_ONE,
          send.told.size() == 1 || (send.told.isEmpty() && !send.entry.process.alive()),
          "send was told " + send.told);
    }
    boolean allNotRun =
        booking.sends.stream()
            .filter(send -> !send.waited)
            .allMatch(
                send -> send.told.equals(List.of(Outcome.NOT_RUN)) && send.entry.process.alive());
    if (allNotRun && !booking.sends.isEmpty()) {
      ClaimResult[] result = new ClaimResult[1];
      Entry fresh = new Entry(ENTRIES);
      fresh
          .keeper
          .claim(SERVICE, booking.key, "print", timeline.now() + DEADLINE_MILLIS)
          .thenAccept(found -> result[0] = found);
      timeline.runUntil(timeline.now() - Timeline.START_MILLIS + 1_000);
      chaos.check(
          Check.RESEND_BARRED,
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
    private final List<Outcome> told = new ArrayList<>();

    /** Null until the claim was won. */
    private ClaimToken token;

    /** Told that another send is running or has ended; says nothing about that other send. */
    private boolean waited;

    private boolean settled;

    Send(Booking booking, Entry entry) {
      this.booking = booking;
      this.entry = entry;
    }
  }

  private final class Entry {

    private final Process process = new Process(timeline);
    private final ClaimStore keeper;
    private int drawn;

    Entry(int number) {
      FaultyTable table = new FaultyTable(rows, timeline, chaos, process);
      keeper =
          new ClaimStore(
              table,
              ClaimSettings.DEFAULT,
              timeline.clock(),
              () -> new ClaimToken(number + "-" + ++drawn));
      if (breakage != Breakage.ENDS_FORGOTTEN) {
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
          if (chaos.strikes(Fault.PROCESS_PAUSED, 0.05)) {
            process.pause(chaos.between(500, 20_000));
          }
          process.run(() -> dispatch(send, won.claim()));
        }
        case ClaimResult.Ran ran -> waited(send, Outcome.RAN);
        case ClaimResult.InProgress progress -> waited(send, Outcome.UNKNOWN);
        case ClaimResult.Unknown unknown -> waited(send, Outcome.UNKNOWN);
        case ClaimResult.Refused refused -> tell(send, refused.reason().outcome());
      }
    }

    private void dispatch(Send send, Claim claim) {
      if (!claim.mayDispatch(timeline.now())) {
        end(send, claim, Outcome.NOT_RUN);
        return;
      }
      agent.dispatch(claim, outcome -> process.run(() -> end(send, claim, outcome)));
      Outcome silence = breakage == Breakage.NOT_RUN_GUESSED ? Outcome.NOT_RUN : Outcome.UNKNOWN;
      timeline.after(DEADLINE_MILLIS + 2_000, () -> process.run(() -> end(send, claim, silence)));
    }

    private void end(Send send, Claim claim, Outcome outcome) {
      if (!send.settled) {
        send.settled = true;
        keeper.finish(claim, outcome, Optional.empty()).thenAccept(done -> tell(send, outcome));
      }
    }

    private void waited(Send send, Outcome outcome) {
      send.waited = true;
      tell(send, outcome);
    }

    private void tell(Send send, Outcome outcome) {
      send.told.add(outcome);
      if (!outcome.equals(Outcome.RAN) && chaos.chance(0.6)) {
        timeline.after(chaos.between(0, 8_000), () -> send(send.booking));
      }
    }
  }

  /** Runs what reaches it before its expiry, once for each message that is not a repetition. */
  private static final class BookingAgent {

    private final Timeline timeline;
    private final Chaos chaos;
    private final Map<ClaimToken, Integer> runs = new HashMap<>();
    private final Map<ClaimToken, Integer> seen = new HashMap<>();
    private int incarnation;

    BookingAgent(Timeline timeline, Chaos chaos) {
      this.timeline = timeline;
      this.chaos = chaos;
    }

    int runs(ClaimToken token) {
      return runs.getOrDefault(token, 0);
    }

    void restart() {
      incarnation++;
      seen.clear();
    }

    void dispatch(Claim claim, Consumer<Outcome> answer) {
      int connection = incarnation;
      transfer(() -> arrive(claim, connection, answer));
    }

    private void arrive(Claim claim, int connection, Consumer<Outcome> answer) {
      boolean repeated = seen.merge(claim.token(), 1, Integer::sum) > 1;
      if (connection != incarnation || repeated) {
        return;
      }
      timeline.after(chaos.between(0, 4_000), () -> start(claim, connection, answer));
    }

    private void start(Claim claim, int connection, Consumer<Outcome> answer) {
      if (connection != incarnation) {
        return;
      }
      if (timeline.now() >= claim.expiryMillis()) {
        transfer(() -> answer.accept(Outcome.NOT_RUN));
        return;
      }
      runs.merge(claim.token(), 1, Integer::sum);
      timeline.after(chaos.between(10, 4_000), () -> finish(connection, answer));
    }

    private void finish(int connection, Consumer<Outcome> answer) {
      if (connection == incarnation) {
        transfer(() -> answer.accept(Outcome.RAN));
      }
    }

    private void transfer(Runnable message) {
      if (chaos.strikes(Fault.FRAME_LOST, 0.05)) {
        return;
      }
      boolean delayed = chaos.strikes(Fault.FRAME_DELAYED, 0.05);
      timeline.after(delayed ? chaos.between(500, 15_000) : chaos.between(1, 20), message);
      if (chaos.strikes(Fault.FRAME_DUPLICATED, 0.05)) {
        timeline.after(chaos.between(1, 5_000), message);
      }
    }
  }
}
